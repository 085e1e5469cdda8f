//! Validation of a whole configuration.

use std::fmt::Display;
use std::ops::RangeInclusive;

use crate::{access, code, configuration, finding, kind, map, name, secret};

/// Allowed rates of a limit, in requests per second.
pub const RATE_PER_SECOND: RangeInclusive<f64> = 0.1..=1_000_000.0;
/// Allowed bursts of a limit, in requests.
pub const BURST: RangeInclusive<u32> = 1..=1_000_000;
/// Allowed weights of a team.
pub const WEIGHT: RangeInclusive<u16> = 1..=1_000;
/// Allowed timeouts of a route, in milliseconds.
pub const TIMEOUT_MS: RangeInclusive<u128> = 10..=600_000;
/// Allowed retry credits of a route.
pub const RETRIES: RangeInclusive<u8> = 0..=10;
/// Allowed numbers of targets to which one request is sent.
pub const ATTEMPTS: RangeInclusive<u8> = 1..=11;
/// Most priorities in a configuration.
pub const MAX_PRIORITIES: usize = 32;

/// Adds findings about one object to a list.
struct Report<'a> {
    findings: &'a mut Vec<finding::Finding>,
    kind: kind::Kind,
    name: &'a name::Name,
}

impl Report<'_> {
    fn add(&mut self, code: code::Code, field: &str, detail: impl Into<Box<str>>) {
        self.findings.push(finding::Finding {
            code,
            kind: self.kind,
            name: self.name.clone(),
            field: field.into(),
            detail: detail.into(),
        });
    }

    fn check_range<T: PartialOrd + Display>(
        &mut self,
        field: &str,
        value: &T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(value) {
            let detail = format!("{value} is not in {} to {}", range.start(), range.end());
            self.add(code::Code::OutOfRange, field, detail);
        }
    }

    fn check_reference(
        &mut self,
        field: &str,
        kind: kind::Kind,
        wanted: &name::Name,
        names: &Names<'_>,
    ) {
        if !names.contains(&(kind, wanted)) {
            let detail = format!("no {kind} is named {wanted}");
            self.add(code::Code::DanglingName, field, detail);
        }
    }

    fn check_name(&mut self, field: &str, value: &name::Name) {
        if !value.is_valid() {
            let detail = format!("{value:?} is not 1 to 63 characters of a-z, 0-9 and -");
            self.add(code::Code::BadName, field, detail);
        }
    }
}

/// Kind and name of every object in the configuration.
type Names<'a> = map::Set<(kind::Kind, &'a name::Name)>;

/// Checks a whole configuration and returns all faults; a configuration without
/// any may be published.
#[must_use]
pub fn check(configuration: &configuration::Configuration) -> Vec<finding::Finding> {
    let mut findings = Vec::new();
    let names = check_names(configuration, &mut findings);
    check_priorities(configuration, &names, &mut findings);
    check_limits(configuration, &mut findings);
    check_teams(configuration, &names, &mut findings);
    check_keys(configuration, &names, &mut findings);
    check_routes(configuration, &names, &mut findings);
    findings
}

fn check_names<'a>(
    configuration: &'a configuration::Configuration,
    findings: &mut Vec<finding::Finding>,
) -> Names<'a> {
    let priorities = configuration.priorities.iter().map(|entry| &entry.name);
    let limits = configuration.limits.iter().map(|entry| &entry.name);
    let teams = configuration.teams.iter().map(|entry| &entry.name);
    let keys = configuration.keys.iter().map(|entry| &entry.name);
    let routes = configuration.routes.iter().map(|entry| &entry.name);
    let all = priorities
        .map(|name| (kind::Kind::Priority, name))
        .chain(limits.map(|name| (kind::Kind::Limit, name)))
        .chain(teams.map(|name| (kind::Kind::Team, name)))
        .chain(keys.map(|name| (kind::Kind::Key, name)))
        .chain(routes.map(|name| (kind::Kind::Route, name)));
    let mut names = Names::default();
    for (kind, name) in all {
        let mut report = Report {
            findings,
            kind,
            name,
        };
        report.check_name("name", name);
        if !names.insert((kind, name)) {
            report.add(code::Code::DuplicateName, "name", "the name is used twice");
        }
    }
    names
}

fn check_priorities(
    configuration: &configuration::Configuration,
    names: &Names<'_>,
    findings: &mut Vec<finding::Finding>,
) {
    let below: map::Map<_, _> = configuration
        .priorities
        .iter()
        .map(|entry| (&entry.name, entry.below.as_ref()))
        .collect();
    let mut lower = map::Map::<Option<&name::Name>, &name::Name>::default();
    for entry in &configuration.priorities {
        let mut report = Report {
            findings,
            kind: kind::Kind::Priority,
            name: &entry.name,
        };
        if let Some(higher) = &entry.below {
            report.check_reference("below", kind::Kind::Priority, higher, names);
        }
        if in_cycle(&entry.name, &below) {
            report.add(code::Code::Cycle, "below", "the priority is above itself");
        }
        if let Some(other) = lower.insert(entry.below.as_ref(), &entry.name) {
            let detail = format!("priority {other} has the same position in the order");
            report.add(code::Code::DuplicateName, "below", detail);
        }
        if configuration.priorities.len() > MAX_PRIORITIES {
            let detail = format!("more than {MAX_PRIORITIES} priorities");
            report.add(code::Code::OutOfRange, "name", detail);
        }
    }
}

/// Whether the chain of `below` references from `start` leads back to `start`.
fn in_cycle(start: &name::Name, below: &map::Map<&name::Name, Option<&name::Name>>) -> bool {
    let mut current = start;
    for _ in 0..=below.len() {
        match below.get(current).copied().flatten() {
            Some(next) if next == start => return true,
            Some(next) => current = next,
            None => return false,
        }
    }
    false
}

fn check_limits(
    configuration: &configuration::Configuration,
    findings: &mut Vec<finding::Finding>,
) {
    for entry in &configuration.limits {
        let mut report = Report {
            findings,
            kind: kind::Kind::Limit,
            name: &entry.name,
        };
        report.check_range("rate_per_second", &entry.rate_per_second, &RATE_PER_SECOND);
        report.check_range("burst", &entry.burst, &BURST);
    }
}

fn check_teams(
    configuration: &configuration::Configuration,
    names: &Names<'_>,
    findings: &mut Vec<finding::Finding>,
) {
    for entry in &configuration.teams {
        let mut report = Report {
            findings,
            kind: kind::Kind::Team,
            name: &entry.name,
        };
        report.check_reference("limit", kind::Kind::Limit, &entry.limit, names);
        if let Some(priority) = &entry.priority {
            report.check_reference("priority", kind::Kind::Priority, priority, names);
        }
        report.check_range("weight", &entry.weight, &WEIGHT);
    }
}

fn check_keys(
    configuration: &configuration::Configuration,
    names: &Names<'_>,
    findings: &mut Vec<finding::Finding>,
) {
    let mut ids = map::Map::<[u8; secret::ID_BYTES], &name::Name>::default();
    for entry in &configuration.keys {
        let mut report = Report {
            findings,
            kind: kind::Kind::Key,
            name: &entry.name,
        };
        report.check_reference("team", kind::Kind::Team, &entry.team, names);
        if let Some(other) = ids.insert(entry.id, &entry.name) {
            let detail = format!("key {other} has the same id");
            report.add(code::Code::DuplicateName, "id", detail);
        }
    }
}

fn check_routes(
    configuration: &configuration::Configuration,
    names: &Names<'_>,
    findings: &mut Vec<finding::Finding>,
) {
    let mut paths = map::Map::<(Option<&str>, &str), &name::Name>::default();
    for entry in &configuration.routes {
        let mut report = Report {
            findings,
            kind: kind::Kind::Route,
            name: &entry.name,
        };
        report.check_name("service", &entry.service);
        for destination in &entry.split {
            report.check_name("split", &destination.service);
        }
        if let Some(attempts) = &entry.attempts {
            report.check_range("attempts", attempts, &ATTEMPTS);
        }
        report.check_reference("priority", kind::Kind::Priority, &entry.priority, names);
        if let access::Access::Teams(teams) = &entry.access {
            for team in teams {
                report.check_reference("access", kind::Kind::Team, team, names);
            }
        }
        report.check_range("timeout_ms", &entry.timeout.as_millis(), &TIMEOUT_MS);
        report.check_range("retries", &entry.retries, &RETRIES);
        check_path(&entry.path, &mut report);
        let pattern = (entry.host.as_deref(), entry.prefix());
        if let Some(other) = paths.insert(pattern, &entry.name) {
            let detail = format!("route {other} has the same host and path");
            report.add(code::Code::DuplicateName, "path", detail);
        }
    }
}

fn check_path(path: &str, report: &mut Report<'_>) {
    let is_plain = |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let is_normalized = path == "/"
        || path
            .strip_prefix('/')
            .map(|rest| rest.strip_suffix('/').unwrap_or(rest))
            .is_some_and(|rest| rest.split('/').all(is_plain));
    if !is_normalized
        || path
            .bytes()
            .any(|byte| !byte.is_ascii_graphic() || b"?#%".contains(&byte))
    {
        let detail = format!(
            "{path:?} is not an absolute path of visible ASCII characters other than ?, # and %, \
             without empty, . or .. segments"
        );
        report.add(code::Code::OutOfRange, "path", detail);
    }
}
