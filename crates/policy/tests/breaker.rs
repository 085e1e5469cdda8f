//! Circuit breaker of one target.

use std::time::{Duration, Instant};

use masticarch_policy::outlier::breaker::{Breaker, Outcome};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a request every 50 ms for a time, which ends at once as `outcome` says; returns the
/// share of them that the breaker admits.
fn admitted(
    breaker: &mut Breaker,
    start: Instant,
    time: Duration,
    outcome: impl Fn(u32) -> Outcome,
) -> f64 {
    let mut admitted = 0;
    let mut number = 0;
    let mut now = start;
    while now < start + time {
        if breaker.admits(PATIENCE, now) {
            breaker.record_start(now);
            breaker.record_end(outcome(number), now);
            admitted += 1;
        }
        number += 1;
        now += REQUEST_INTERVAL;
    }
    f64::from(admitted) / f64::from(number)
}

// Guards against a target that gets its share of the requests although it fails them.
#[rstest]
#[case::all(1, 0.05)]
#[case::two_in_five(5, 0.25)]
fn failing_target_gets_few_requests(#[case] period: u32, #[case] most: f64) {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    let outcome = |number| {
        if number % period <= period / 3 {
            Outcome::Failure
        } else {
            Outcome::Success
        }
    };

    let share = admitted(&mut breaker, now, 60 * SECOND, outcome);

    assert!(share <= most, "{share}");
}

// Guards against a target that is left out for a few scattered failures.
#[test]
fn rare_failures_are_tolerated() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    let outcome = |number| {
        if number % 10 == 0 {
            Outcome::Failure
        } else {
            Outcome::Success
        }
    };

    let share = admitted(&mut breaker, now, 60 * SECOND, outcome);

    assert!(share >= 1.0, "{share}");
}

// Guards against a target that is left out for good.
#[test]
fn target_that_works_again_is_used_again() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    admitted(&mut breaker, now, 2 * SECOND, |_| Outcome::Failure);
    let later = now + 5 * SECOND;

    let first = admitted(&mut breaker, later, SECOND, |_| Outcome::Success);

    assert!(first >= 1.0, "{first}");
    assert!(!breaker.is_open());
}

// Guards against a target that is left out because a service that it calls fails.
#[test]
fn errors_due_to_failed_calls_do_not_count() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);

    let mut excused = true;
    for number in 0..100 {
        let now = now + number * REQUEST_INTERVAL;
        breaker.record_failed_call(now);
        excused &= breaker.admits(PATIENCE, now);
        breaker.record_start(now);
        excused &= breaker.record_end(Outcome::Error, now);
    }

    assert!(excused);
    assert!(!breaker.is_open());
}

// Guards against a target that is left out because its errors arrive before the ends of the
// calls that cause them.
#[test]
fn errors_before_the_failed_calls_do_not_count() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);

    for number in 0..100 {
        let now = now + number * REQUEST_INTERVAL;
        breaker.record_start(now);
        breaker.record_end(Outcome::Error, now);
        breaker.record_failed_call(now);
    }

    assert!(!breaker.is_open());
}

// Guards against requests to a target that answers nothing, and against one that is taken
// for silent while it has nothing to answer.
#[test]
fn silent_target_gets_nothing_new() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    let idle = breaker.admits(PATIENCE, now + 60 * SECOND);
    let begun = now + 60 * SECOND;
    breaker.record_start(begun);

    let soon = breaker.admits(PATIENCE, begun + PATIENCE / 2);
    let later = breaker.admits(PATIENCE, begun + PATIENCE);

    assert!(idle && soon);
    assert!(!later);
}

// Guards against many requests at once to a target that may still fail.
#[test]
fn target_is_probed_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut breaker = Breaker::new(now);
    admitted(&mut breaker, now, SECOND / 2, |_| Outcome::Failure);
    let later = now + 2 * SECOND;

    let first = breaker.admits(PATIENCE, later);
    breaker.record_start(later);
    let second = breaker.admits(PATIENCE, later);
    breaker.record_end(Outcome::Failure, later);
    let third = breaker.admits(PATIENCE, later);

    assert!(first);
    assert!(!second && !third);
}
