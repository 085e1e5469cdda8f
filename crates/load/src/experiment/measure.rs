//! Measures of a run, and criteria that put bounds on them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::trial;
use crate::generator::{rate_limit, record};

/// Time window over which goodput or success is averaged to detect recovery.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);
/// Step by which the recovery window moves.
const RECOVERY_STEP: Duration = Duration::from_millis(100);

/// What is measured. Clients are numbered from 0 in the order of the plan; the
/// generator and its records call them teams. Times count from the start of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// 99th percentile of a client's latency minus that of the baseline, in
    /// milliseconds. In both runs, only requests that are due after the warm-up
    /// count.
    AddedP99 {
        /// Number of the client.
        client: usize,
        /// End of the warm-up.
        from_ms: u64,
    },
    /// Served requests per second in a time span, divided by a capacity.
    Goodput {
        /// Start of the time span.
        from_ms: u64,
        /// End of the time span.
        to_ms: u64,
        /// Requests per second that give the value 1.
        capacity: f64,
    },
    /// Smallest share of served requests among some clients.
    ServedShare {
        /// Numbers of the clients.
        clients: Vec<usize>,
    },
    /// Share of the requests of some clients together that were not served.
    RefusedShare {
        /// Numbers of the clients.
        clients: Vec<usize>,
    },
    /// Seconds from a given time until goodput is back at a share of its normal
    /// average; infinite if that does not happen before the load ends.
    Recovery {
        /// End of the time span in which goodput was normal, which starts at 0.
        normal_until_ms: u64,
        /// The given time, from which recovery counts.
        from_ms: u64,
        /// Share of the normal goodput.
        share: f64,
    },
    /// Served requests of a client per second in a time span, divided by a rate.
    ServedRate {
        /// Number of the client.
        client: usize,
        /// Start of the time span.
        from_ms: u64,
        /// End of the time span.
        to_ms: u64,
        /// Requests per second that give the value 1.
        rate: f64,
    },
    /// Seconds from a given time until a share of the requests that are due in a
    /// short window is served; infinite if that does not happen before the load
    /// ends.
    SuccessRecovery {
        /// The given time.
        from_ms: u64,
        /// Share of the requests that must be served.
        share: f64,
    },
    /// Seconds from a given time to the end of a client's last served request;
    /// infinite if none was served before that time, because then nothing shows
    /// that the client was served at all.
    LastServed {
        /// Number of the client.
        client: usize,
        /// The given time.
        from_ms: u64,
    },
    /// Largest number of a client's served requests above rate × t + burst in any
    /// window of t seconds.
    WindowExcess {
        /// Number of the client.
        client: usize,
        /// Allowed requests per second.
        rate: f64,
        /// Allowed burst, in requests.
        burst: f64,
    },
    /// Largest number of executions of one root request, summed over services,
    /// above those of a call tree without failures.
    ExtraExecutions {
        /// Executions of a root request by service when no call fails.
        normal: BTreeMap<String, u64>,
    },
    /// Number of root request ids with more than one execution in a service, summed
    /// over services.
    DuplicateExecutions,
    /// Number of requests that ran although each of their attempts was answered with
    /// "not run". Only requests that carry a request id are checked.
    UntrueNotRun,
    /// Number of requests that were sent, without resends.
    Requests,
    /// Processor time of the nodes per served request, divided by that of the
    /// baseline, minus 1.
    AddedCost,
}

/// Bound on the value of a measure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Smallest allowed value.
    AtLeast(f64),
    /// Largest allowed value.
    AtMost(f64),
}

/// A measure, its name and the bound that it must satisfy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Criterion {
    /// Name of the measure in the output.
    pub name: String,
    /// Measure to take.
    pub measure: Measure,
    /// Bound on the value measured for the system, not on that of the baseline.
    pub bound: Bound,
}

impl Bound {
    /// Whether a value satisfies the bound; NaN never does.
    #[must_use]
    pub fn holds(self, value: f64) -> bool {
        match self {
            Self::AtLeast(minimum) => value >= minimum,
            Self::AtMost(maximum) => value <= maximum,
        }
    }
}

impl std::fmt::Display for Bound {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AtLeast(minimum) => write!(formatter, ">= {minimum}"),
            Self::AtMost(maximum) => write!(formatter, "<= {maximum}"),
        }
    }
}

impl Measure {
    /// Multiplies the times of the measure by a factor.
    pub fn lengthen(&mut self, factor: u64) {
        match self {
            Self::Goodput { from_ms, to_ms, .. } | Self::ServedRate { from_ms, to_ms, .. } => {
                *from_ms *= factor;
                *to_ms *= factor;
            }
            Self::Recovery {
                normal_until_ms,
                from_ms,
                ..
            } => {
                *normal_until_ms *= factor;
                *from_ms *= factor;
            }
            Self::AddedP99 { from_ms, .. }
            | Self::SuccessRecovery { from_ms, .. }
            | Self::LastServed { from_ms, .. } => {
                *from_ms *= factor;
            }
            _ => {}
        }
    }

    /// Value of the measure for a run; relative measures compare it with the baseline.
    #[must_use]
    pub fn value(&self, run: &trial::Trial, baseline: &trial::Trial) -> f64 {
        let report = &run.report;
        match self {
            Self::AddedP99 { client, from_ms } => {
                let from = milliseconds(*from_ms);
                p99_ms(run, *client, from) - p99_ms(baseline, *client, from)
            }
            Self::Goodput {
                from_ms,
                to_ms,
                capacity,
            } => report.goodput(milliseconds(*from_ms), milliseconds(*to_ms)) / capacity,
            Self::ServedShare { clients } => clients
                .iter()
                .map(|client| report.served_share(*client))
                .fold(f64::INFINITY, f64::min),
            Self::RefusedShare { clients } => refused_share(run, clients),
            Self::Recovery {
                normal_until_ms,
                from_ms,
                share,
            } => recovery(
                run,
                milliseconds(*normal_until_ms),
                milliseconds(*from_ms),
                *share,
            ),
            Self::ServedRate {
                client,
                from_ms,
                to_ms,
                rate,
            } => served_rate(run, *client, milliseconds(*from_ms), milliseconds(*to_ms)) / rate,
            Self::SuccessRecovery { from_ms, share } => {
                success_recovery(run, milliseconds(*from_ms), *share)
            }
            Self::LastServed { client, from_ms } => {
                last_served(run, *client, milliseconds(*from_ms))
            }
            Self::WindowExcess {
                client,
                rate,
                burst,
            } => {
                let own = |record: &&record::Record| record.id.team == *client;
                let records: Vec<_> = report.records.iter().filter(own).copied().collect();
                rate_limit::window_excess(&records, *rate, *burst).max(0.0)
            }
            Self::ExtraExecutions { normal } => extra_executions(run, normal),
            Self::DuplicateExecutions => duplicate_executions(run),
            Self::UntrueNotRun => untrue_not_run(run),
            Self::Requests => usize_to_f64(report.requests().count()),
            Self::AddedCost => seconds_per_request(run) / seconds_per_request(baseline) - 1.0,
        }
    }
}

const fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Converts a count; counts above `u32::MAX` are clamped.
fn usize_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Converts a number; numbers above `u32::MAX` are clamped.
fn u64_to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn p99_ms(run: &trial::Trial, client: usize, from: Duration) -> f64 {
    let latencies = run.report.latencies_from(client, from);
    let microseconds = latencies.value_at_quantile(0.99);
    u64_to_f64(microseconds) / 1_000.0
}

fn refused_share(run: &trial::Trial, clients: &[usize]) -> f64 {
    let requests = || run.report.requests();
    let own = |record: &&record::Record| clients.contains(&record.id.team);
    let total = requests().filter(own).count();
    let served = requests()
        .filter(own)
        .filter(|record| record.is_served())
        .count();
    usize_to_f64(total - served) / usize_to_f64(total)
}

/// Seconds from `from` to the first window whose goodput is at least a share of the
/// average goodput before `normal_until`; infinite if there is none before the load
/// ends.
fn recovery(run: &trial::Trial, normal_until: Duration, from: Duration, share: f64) -> f64 {
    let minimum = run.report.goodput(Duration::ZERO, normal_until) * share;
    let end = run.report.plan.duration();
    let mut start = from;
    while start + RECOVERY_WINDOW <= end {
        if run.report.goodput(start, start + RECOVERY_WINDOW) >= minimum {
            return start.saturating_sub(from).as_secs_f64();
        }
        start += RECOVERY_STEP;
    }
    f64::INFINITY
}

fn served_rate(run: &trial::Trial, client: usize, from: Duration, to: Duration) -> f64 {
    let inside =
        |record: &&record::Record| record.is_served() && record.ended >= from && record.ended < to;
    let served = run.report.requests_of(client).filter(inside).count();
    usize_to_f64(served) / to.saturating_sub(from).as_secs_f64()
}

/// Like [`recovery`], but for the share of served requests among those that are due
/// in a window.
fn success_recovery(run: &trial::Trial, from: Duration, share: f64) -> f64 {
    let end = run.report.plan.duration();
    let mut start = from;
    while start + RECOVERY_WINDOW <= end {
        let due = |record: &&record::Record| {
            record.intended >= start && record.intended < start + RECOVERY_WINDOW
        };
        let total = run.report.requests().filter(due).count();
        let served = run.report.requests().filter(due);
        let served = served.filter(|record| record.is_served()).count();
        if total > 0 && usize_to_f64(served) >= usize_to_f64(total) * share {
            return start.saturating_sub(from).as_secs_f64();
        }
        start += RECOVERY_STEP;
    }
    f64::INFINITY
}

fn last_served(run: &trial::Trial, client: usize, from: Duration) -> f64 {
    let served = || {
        run.report
            .requests_of(client)
            .filter(|record| record.is_served())
    };
    if !served().any(|record| record.ended < from) {
        return f64::INFINITY;
    }
    let last = served().map(|record| record.ended).max().unwrap_or(from);
    last.saturating_sub(from).as_secs_f64()
}

fn extra_executions(run: &trial::Trial, normal: &BTreeMap<String, u64>) -> f64 {
    let mut extra = BTreeMap::<&str, u64>::new();
    for (service, executions) in &run.executions {
        let allowed = normal.get(service).copied().unwrap_or(0);
        for (id, count) in &executions.by_request_id {
            *extra.entry(id).or_default() += count.saturating_sub(allowed);
        }
    }
    u64_to_f64(extra.into_values().max().unwrap_or(0))
}

fn duplicate_executions(run: &trial::Trial) -> f64 {
    let services = run.executions.values();
    let counts = services.flat_map(|executions| executions.by_request_id.values());
    usize_to_f64(counts.filter(|count| **count > 1).count())
}

fn untrue_not_run(run: &trial::Trial) -> f64 {
    let services = run.executions.values();
    let ran: BTreeSet<_> = services
        .flat_map(|executions| executions.by_request_id.keys())
        .collect();
    let mut not_run = BTreeMap::<record::Id, bool>::new();
    for record in &run.report.records {
        let says_not_run = record.ran() == Some(record::Ran::No);
        let always = not_run.entry(record.id).or_insert(true);
        *always &= says_not_run;
    }
    let seed = run.report.plan.seed;
    let is_executed = |id: &record::Id| ran.contains(&record::request_id(seed, *id));
    let claimed = not_run.iter().filter(|(_, always)| **always);
    usize_to_f64(claimed.filter(|(id, _)| is_executed(id)).count())
}

fn seconds_per_request(run: &trial::Trial) -> f64 {
    let served = run.report.requests().filter(|record| record.is_served());
    run.node_seconds / usize_to_f64(served.count())
}
