//! Outlier detection and ejection of targets.

use std::time::{Duration, Instant};

use masticarch_policy::outlier::{self, detector};

const SECOND: Duration = Duration::from_secs(1);

// Guards against requests to a target that fails all of them.
#[test]
fn fifth_failure_in_a_row_calls_for_ejection() {
    let now = Instant::now();
    let mut detector = detector::Detector::default();

    let calls = [0; 5].map(|_| detector.record_failure(now));

    assert_eq!(calls, [false, false, false, false, true]);
}

// Guards against a target that fails most requests but never five in a row.
#[test]
fn failing_more_than_half_calls_for_ejection() {
    let now = Instant::now();
    let mut detector = detector::Detector::default();
    let mut called = false;

    for _ in 0..5 {
        detector.record_success(now);
        called |= detector.record_failure(now) | detector.record_failure(now);
    }

    assert!(called);
}

// Guards against ejecting a target for a few scattered failures.
#[test]
fn rare_failures_are_tolerated() {
    let now = Instant::now();
    let mut detector = detector::Detector::default();

    let calls = [0; 100].map(|_| {
        (0..3).for_each(|_| detector.record_success(now));
        detector.record_failure(now)
    });

    assert!(!calls.contains(&true));
}

// Guards against a target that gets requests too often while it keeps failing, or
// that never gets any again.
#[test]
fn ejection_doubles_and_ends_by_itself() {
    let mut now = Instant::now();
    let mut detector = detector::Detector::default();
    let mut times = Vec::new();

    for _ in 0..7 {
        detector.eject(now);
        let mut time = Duration::ZERO;
        while detector.is_ejected(now + time) {
            time += SECOND;
        }
        now += time;
        times.push(time.as_secs());
        assert!(detector.record_failure(now));
    }

    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30]);
}

// Guards against ejection of a whole service because of a fault that all its
// targets share.
#[test]
fn half_of_the_targets_always_stay() {
    for total in 0..20 {
        let ejected = (0..total)
            .take_while(|count| outlier::may_eject(*count, total))
            .count();

        assert!(ejected * 2 <= total, "{ejected} of {total}");
    }
}
