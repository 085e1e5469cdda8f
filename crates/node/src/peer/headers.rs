//! Headers of requests and answers between nodes.

use std::time::{Duration, Instant};

use http::HeaderMap;
use masticarch_model::{code, name, ran};
use masticarch_wire::header as names;
use masticarch_wire::http::{answer, fields, request};

use crate::admission::{entry, summary};
use crate::protocol::notice;
use crate::refusal;
use crate::target::job;

/// Adds the entry for admission at the target's node to a request.
pub fn write_entry(request: &mut request::Request, entry: &entry::Entry) {
    let headers = &mut request.headers;
    fields::set(headers, names::SERVICE, &entry.service);
    fields::set(headers, names::ROUTE, &entry.route);
    fields::set(headers, names::REQUEST_ID, &entry.root);
    fields::set_number(headers, names::WEIGHT, entry.weight);
    fields::set_number(headers, names::PRIORITY, entry.rank);
    fields::set_number(headers, names::DEADLINE_MS, entry.remaining_ms());
    fields::set_number(headers, names::CREDIT, entry.credit);
    fields::set_number(headers, names::REPEAT, u8::from(entry.repeat));
    if let Some(team) = &entry.team {
        fields::set(headers, names::TEAM, team);
    }
    if let Some(caller) = &entry.caller {
        fields::set(headers, names::CALLER, caller);
    }
    write_rate_limit(headers, entry.rate_limit);
    write_leaving(headers, entry.leaving.as_deref());
    write_flag(headers, names::INSIST, entry.insists);
}

/// Reads the entry that another node sent; `None` when a required header is missing or
/// malformed.
#[must_use]
pub fn read_entry(headers: &HeaderMap) -> Option<entry::Entry> {
    let remaining: u64 = fields::number(headers, names::DEADLINE_MS)?;
    let remaining = Duration::from_millis(remaining);
    Some(entry::Entry {
        service: fields::text(headers, names::SERVICE)?.into(),
        route: fields::text(headers, names::ROUTE)?.into(),
        root: fields::text(headers, names::REQUEST_ID)?.into(),
        team: fields::text(headers, names::TEAM).map(name::Name::new),
        weight: fields::number(headers, names::WEIGHT)?,
        rank: fields::number(headers, names::PRIORITY)?,
        deadline: Instant::now().checked_add(remaining)?,
        credit: fields::number(headers, names::CREDIT)?,
        repeat: fields::text(headers, names::REPEAT)? == "1",
        caller: fields::text(headers, names::CALLER).map(name::Name::new),
        rate_limit: read_rate_limit(headers),
        leaving: read_leaving(headers),
        insists: read_flag(headers, names::INSIST),
    })
}

/// Adds the summary of admission to an answer.
pub fn write_summary(answer: &mut answer::Answer, summary: &summary::Summary) {
    let headers = &mut answer.headers;
    fields::set_number(headers, names::CREDIT, summary.credit);
    fields::set_number(headers, names::OVERLOAD, summary.overload);
    let limit = format!("{}/{}", summary.limit, summary.in_flight);
    fields::set(headers, names::LIMIT, &limit);
    if let Some(executions) = summary.executions {
        fields::set_number(headers, names::EXECUTIONS, executions);
    }
    write_rate_limit(headers, summary.rate_limit);
    write_flag(headers, names::CALL_FAILED, summary.call_failed);
}

/// Adds the run of the target that has stated that it is leaving, if there is one.
pub fn write_leaving(headers: &mut HeaderMap, run: Option<&str>) {
    if let Some(run) = run {
        fields::set(headers, names::LEAVING, run);
    }
}

fn read_leaving(headers: &HeaderMap) -> Option<Box<str>> {
    fields::text(headers, names::LEAVING).map(Into::into)
}

fn write_rate_limit(headers: &mut HeaderMap, per_second: Option<f64>) {
    if let Some(per_second) = per_second {
        fields::set(headers, names::RATE_LIMIT, &per_second.to_string());
    }
}

fn read_rate_limit(headers: &HeaderMap) -> Option<f64> {
    match notice::RateLimit::read(fields::text(headers, names::RATE_LIMIT)) {
        notice::RateLimit::PerSecond(per_second) => Some(per_second),
        notice::RateLimit::Absent | notice::RateLimit::Unreadable => None,
    }
}

/// Reads the answer of another node: the target's answer or a refusal, and the summary
/// of admission.
#[must_use]
pub fn read_outcome(mut answer: answer::Answer) -> job::Outcome {
    let summary = read_summary(&answer.headers);
    let leaving = read_leaving(&answer.headers);
    let refusal = read_refusal(&answer);
    fields::strip_hop_by_hop(&mut answer.headers);
    fields::strip_internal(&mut answer.headers);
    job::Outcome {
        result: refusal.map_or(Ok(answer), Err),
        summary,
        leaving,
    }
}

fn read_summary(headers: &HeaderMap) -> Option<summary::Summary> {
    let (limit, in_flight) = fields::text(headers, names::LIMIT)?.split_once('/')?;
    Some(summary::Summary {
        credit: fields::number(headers, names::CREDIT)?,
        executions: fields::number(headers, names::EXECUTIONS),
        overload: fields::number(headers, names::OVERLOAD)?,
        limit: limit.parse().ok()?,
        in_flight: in_flight.parse().ok()?,
        rate_limit: read_rate_limit(headers),
        call_failed: read_flag(headers, names::CALL_FAILED),
    })
}

fn write_flag(headers: &mut HeaderMap, name: &'static str, flag: bool) {
    if flag {
        fields::set(headers, name, "1");
    }
}

fn read_flag(headers: &HeaderMap, name: &str) -> bool {
    fields::text(headers, name) == Some("1")
}

fn read_refusal(answer: &answer::Answer) -> Option<refusal::Refusal> {
    let number = fields::number(&answer.headers, names::CODE)?;
    let code = code::Code::from_number(number).unwrap_or(code::Code::TargetFailed);
    let ran = match fields::text(&answer.headers, names::RAN) {
        Some("no") => ran::Ran::No,
        Some("yes") => ran::Ran::Yes,
        _ => ran::Ran::Unknown,
    };
    let detail = String::from_utf8_lossy(&answer.body).into_owned();
    let retry_after = fields::number(&answer.headers, "retry-after").map(Duration::from_secs);
    Some(refusal::Refusal {
        ran,
        retry_after,
        ..refusal::Refusal::new(code, detail)
    })
}
