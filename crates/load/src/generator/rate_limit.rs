//! Checks the records of a run against a rate limit with a burst.

use super::record;

/// The largest number of served requests above `rate * t + burst` in any time
/// window of `t` seconds; at most 0 when the limit held. A request counts only if
/// the window contains both its sending and its answer, because it was admitted at
/// an unknown moment between them.
#[must_use]
pub fn window_excess(records: &[record::Record], rate: f64, burst: f64) -> f64 {
    let mut served: Vec<_> = records.iter().filter(|record| record.is_served()).collect();
    served.sort_by_key(|record| record.ended);
    served
        .iter()
        .map(|first| excess_from(&served, first.sent, rate))
        .fold(f64::NEG_INFINITY, f64::max)
        - burst
}

/// The largest number of requests above `rate * t` in any window of `t` seconds
/// that starts at `start`. The records are sorted by their end.
fn excess_from(by_end: &[&record::Record], start: std::time::Duration, rate: f64) -> f64 {
    let mut count = 0.0;
    let mut worst = f64::NEG_INFINITY;
    for record in by_end.iter().filter(|record| record.sent >= start) {
        count += 1.0;
        let length = record.ended.saturating_sub(start).as_secs_f64();
        worst = f64::max(worst, rate.mul_add(-length, count));
    }
    worst
}
