//! The rate limit that a target states.

use std::time::{Duration, Instant};

use masticarch_policy::limit::rate;
use rstest::rstest;

/// Requests that pass in this time when one is tried each millisecond.
fn passed(rate: &mut rate::Rate, start: Instant, time: Duration) -> u32 {
    let mut passed = 0;
    for millisecond in 0..time.as_millis() {
        let now = start + Duration::from_millis(u64::try_from(millisecond).unwrap());
        if rate.is_ready(now) {
            rate.take(now);
            passed += 1;
        }
    }
    passed
}

// Guards against more requests in a window than the stated limit allows, from its first
// statement on and after an idle time, and against a limit that lets nothing pass.
#[rstest]
#[case::none_wanted(0.0, 5)]
#[case::below_one(0.3, 6)]
#[case::usual(12.0, 77)]
#[case::high(1000.0, 6005)]
fn window_holds(#[case] per_second: f64, #[case] allowed: u32, #[values(0, 60)] idle: u64) {
    let start = Instant::now();
    let mut rate = rate::Rate::new(start);
    rate.record_limit(per_second, start);

    let passed = passed(
        &mut rate,
        start + Duration::from_secs(idle),
        Duration::from_secs(4),
    );

    assert!((1..=allowed).contains(&passed), "{passed}");
}

// Guards against a limit that ends by an answer to a request sent before the target
// stated it, and against one that never ends.
#[test]
fn only_answer_to_a_later_request_ends_the_limit() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let mut rate = rate::Rate::new(start);
    rate.record_limit(1.0, later);

    rate.record_no_limit(start);
    let overtaken = rate.per_second();
    rate.record_no_limit(later);

    assert_eq!(overtaken, Some(1.0));
    assert_eq!(rate.per_second(), None);
    assert!(rate.is_ready(later));
}

// Guards against tokens that a target gets anew with each change of its limit.
#[test]
fn changed_limit_adds_no_tokens() {
    let start = Instant::now();
    let mut rate = rate::Rate::new(start);

    for step in 0..100 {
        rate.record_limit(10.0 + f64::from(step), start);
        assert!(!rate.is_ready(start));
    }
}

// Guards against a request that counts although it was not sent.
#[test]
fn unsent_request_gives_its_token_back() {
    let start = Instant::now();
    let mut rate = rate::Rate::new(start);
    rate.record_limit(1.0, start);
    let now = start + Duration::from_secs(2);

    rate.take(now);
    let taken = rate.is_ready(now);
    rate.put_back();

    assert!(!taken);
    assert!(rate.is_ready(now));
}
