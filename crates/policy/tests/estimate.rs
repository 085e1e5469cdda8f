//! Estimates of service times by kind of work.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::estimate::{slowness, table};
use masticarch_policy::limit::{Limiter, adaptive, sample};

const SHORT: Duration = Duration::from_millis(65);
const LONG: Duration = Duration::from_millis(1060);
const SLOTS: u32 = 40;

/// A table with some samples of each kind.
fn table(now: Instant) -> table::Table<&'static str> {
    let mut table = table::Table::default();
    for _ in 0..20 {
        table.add(&"short", SHORT, now);
        table.add(&"long", LONG, now);
    }
    table
}

/// Runs requests one after another at a target that is never congested, with `long_ratio`
/// of them of the long kind, and returns the concurrency limit after them.
fn limit_after(
    limiter: &mut adaptive::Adaptive,
    table: &mut table::Table<&'static str>,
    rng: &mut Rng,
    start: Instant,
    long_ratio: f64,
) -> u32 {
    for step in 0..4000 {
        let now = start + Duration::from_millis(5 * step);
        let (kind, time) = if rng.f64() < long_ratio {
            ("long", LONG)
        } else {
            ("short", SHORT)
        };
        let normalised = table.normalise(&kind, time, now);
        let in_flight = limiter.current();
        limiter.completed(sample::Sample::Complete(normalised), in_flight, now);
        table.add(&kind, time, now);
    }
    limiter.current()
}

// Guards against short requests that are refused for the length of others.
#[test]
fn kinds_are_estimated_apart() {
    let now = Instant::now();

    let table = table(now);

    assert_eq!(table.service_time(&"short"), Some(SHORT));
    assert_eq!(table.service_time(&"long"), Some(LONG));
    assert_eq!(table.service_time(&"other"), None);
}

// Guards against a concurrency limit that takes a changed mix of requests for congestion.
#[test]
fn changed_mix_leaves_the_concurrency_limit() {
    let start = Instant::now();
    let later = start + Duration::from_secs(20);
    let final_limit = |long_ratio| {
        let mut rng = Rng::with_seed(1);
        let mut limiter = adaptive::Adaptive::new(SLOTS, 4 * SLOTS);
        let mut table = table::Table::default();
        limit_after(&mut limiter, &mut table, &mut rng, start, 0.1);
        limit_after(&mut limiter, &mut table, &mut rng, later, long_ratio)
    };

    let (unchanged, changed) = (final_limit(0.1), final_limit(0.7));

    assert!(unchanged >= SLOTS, "{unchanged}");
    assert!(4 * changed >= 3 * unchanged, "{unchanged} {changed}");
}

// Guards against memory that grows with the number of kinds, and against estimates of a
// kind that is no longer used.
#[test]
fn kinds_are_bounded_and_forgotten() {
    let now = Instant::now();
    let mut table = table::Table::default();
    for kind in 0..10_000 {
        table.add(&kind, SHORT, now);
    }
    let len = table.len();

    table.add(&10_000, SHORT, now + table::RETENTION);

    assert_eq!(len, table::MAX_KINDS);
    assert_eq!(table.len(), 1);
}

// Guards against a target that is avoided for good because it was slow once.
#[test]
fn slow_target_is_known_as_such_for_some_time_only() {
    let now = Instant::now();
    let mut slowness = slowness::Slowness::new(now);
    for _ in 0..20 {
        slowness.record(5 * SHORT, SHORT, now);
    }

    let soon = slowness.apply(LONG, now + Duration::from_millis(500));
    let later = slowness.apply(LONG, now + Duration::from_secs(20));

    assert!(soon > 3 * LONG, "{soon:?}");
    assert!(later < LONG + SHORT, "{later:?}");
}
