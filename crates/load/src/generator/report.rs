//! Report of a run of the generator.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{plan, record};

/// Upper bound of a histogram, above which latencies are clamped: the longest
/// allowed timeout of a route.
const MAX_LATENCY_MICROSECONDS: u64 = 600_000_000;

/// The plan of a run and the records of all attempts, in the order in which
/// they ended.
pub struct Report {
    /// Plan that was run.
    pub plan: plan::Plan,
    /// Records of all attempts.
    pub records: Vec<record::Record>,
}

impl Report {
    /// Creates a report from the plan and the records of its run.
    #[must_use]
    pub const fn new(plan: plan::Plan, records: Vec<record::Record>) -> Self {
        Self { plan, records }
    }

    /// The last attempt of every request, whose outcome is that of the request.
    pub fn requests(&self) -> impl Iterator<Item = &record::Record> {
        self.records.iter().filter(|record| record.last)
    }

    /// The last attempt of every request of one team.
    pub fn requests_of(&self, team: usize) -> impl Iterator<Item = &record::Record> {
        self.requests().filter(move |record| record.id.team == team)
    }

    /// Latencies of all served requests in microseconds, from their arrival time.
    #[must_use]
    pub fn latencies(&self) -> Histogram<u64> {
        histogram(self.requests())
    }

    /// Latencies of one team's served requests in microseconds.
    #[must_use]
    pub fn latencies_of(&self, team: usize) -> Histogram<u64> {
        histogram(self.requests_of(team))
    }

    /// Latencies in microseconds of one team's served requests that arrived at or
    /// after `from`.
    #[must_use]
    pub fn latencies_from(&self, team: usize, from: Duration) -> Histogram<u64> {
        let due = |record: &&record::Record| record.intended >= from;
        histogram(self.requests_of(team).filter(due))
    }

    /// Share of one team's requests that were served, from 0 to 1; 1 when it sent
    /// none.
    #[must_use]
    pub fn served_share(&self, team: usize) -> f64 {
        let total = self.requests_of(team).count();
        let served = self
            .requests_of(team)
            .filter(|record| record.is_served())
            .count();
        if total == 0 {
            return 1.0;
        }
        ratio(served, total)
    }

    /// Number of one team's attempts by result code. Attempts without a code, also
    /// those without an answer, count under 0.
    #[must_use]
    pub fn attempts_by_code(&self, team: usize) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        let own = self.records.iter().filter(|record| record.id.team == team);
        for record in own {
            *counts.entry(record.code().unwrap_or(0)).or_default() += 1;
        }
        counts
    }

    /// Served requests per second in a time span, counted by the time at which they
    /// ended; `to` is excluded.
    #[must_use]
    pub fn goodput(&self, from: Duration, to: Duration) -> f64 {
        let inside = |record: &&record::Record| {
            record.is_served() && record.ended >= from && record.ended < to
        };
        let served = self.requests().filter(inside).count();
        let seconds = to.saturating_sub(from).as_secs_f64();
        f64::from(u32::try_from(served).unwrap_or(u32::MAX)) / seconds
    }
}

fn histogram<'a>(records: impl Iterator<Item = &'a record::Record>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROSECONDS, 3)
        .expect("the bounds of the histogram are valid");
    for record in records.filter(|record| record.is_served()) {
        let microseconds = u64::try_from(record.latency().as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(microseconds);
    }
    histogram
}

/// Quotient of two counts; counts above `u32::MAX` are clamped.
fn ratio(part: usize, whole: usize) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole).unwrap_or(u32::MAX);
    f64::from(part) / f64::from(whole)
}
