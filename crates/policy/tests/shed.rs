//! Admission level of a target and throttling at entry nodes.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::shed::{level, throttle};

const QUEUE_LIMIT: Duration = Duration::from_millis(100);

fn overloaded(now: Instant) -> level::Level {
    let mut level = level::Level::new(QUEUE_LIMIT, now);
    (0..4).for_each(|rank| level.record_offer(rank));
    level.record_drop(2, now);
    level
}

// Guards against a level that still admits requests which the queue has to drop.
#[test]
fn tightens_at_once() {
    let now = Instant::now();

    assert_eq!(overloaded(now).current(now), 1);
}

// Guards against a level that refuses the highest priority, which only the queue
// may do.
#[test]
fn highest_priority_stays_admitted() {
    let now = Instant::now();
    let mut level = overloaded(now);

    level.record_drop(0, now);

    assert_eq!(level.current(now), 0);
}

// Guards against a level that admits all priorities at once and overloads the
// target again, and against one that does not relax without traffic.
#[test]
fn relaxes_in_steps_by_itself() {
    let now = Instant::now();
    let level = overloaded(now);

    let levels = [99, 100, 200].map(|ms| level.current(now + Duration::from_millis(ms)));

    assert_eq!(levels, [1, 2, level::ALL]);
}

// Guards against a level that relaxes while queue times are still long.
#[test]
fn long_waits_hold_the_level() {
    let now = Instant::now();
    let mut level = overloaded(now);

    let later = now + Duration::from_millis(90);
    level.record_wait(QUEUE_LIMIT / 4, later);

    assert_eq!(level.current(now + Duration::from_millis(180)), 1);
}

// Guards against throttling that leaves the target idle, or that passes nearly all
// requests.
#[test]
fn passes_about_twice_what_is_accepted() {
    let mut rng = Rng::with_seed(1);
    let mut throttle = throttle::Throttle::default();
    let mut now = Instant::now();
    let (mut passed, mut accepted) = (0, 0);

    for tick in 0..20_000 {
        now += Duration::from_micros(500);
        passed += u32::from(throttle.passes(true, rng.f64(), now));
        // The target accepts one request in ten.
        if tick % 10 == 0 {
            accepted += 1;
            throttle.record_accept(now);
        }
    }

    let ratio = f64::from(passed) / f64::from(accepted);
    assert!((1.8..=2.3).contains(&ratio), "{ratio}");
}

// Guards against an entry node that does not detect that the target has recovered.
#[test]
fn recovers_from_full_refusal_by_probes() {
    let mut rng = Rng::with_seed(1);
    let mut throttle = throttle::Throttle::default();
    let mut now = Instant::now();
    for _ in 0..4000 {
        now += Duration::from_micros(500);
        throttle.passes(true, rng.f64(), now);
    }

    let refused_before = throttle.refused_share();
    for _ in 0..4000 {
        now += Duration::from_micros(500);
        if throttle.passes(true, rng.f64(), now) {
            throttle.record_accept(now);
        }
    }

    assert!(refused_before > 0.9, "{refused_before}");
    let refused = throttle.refused_share();
    assert!(refused < 0.1, "{refused}");
}
