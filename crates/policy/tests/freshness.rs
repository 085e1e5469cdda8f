//! Whether a node's configuration counts as current.

use std::time::{Duration, Instant};

use masticarch_policy::freshness;

// Guards against a withdrawn key that is still accepted because the clock did not
// advance while the VM was suspended.
#[test]
fn suspension_counts_towards_the_age() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut freshness = freshness::Freshness::default();
    freshness.confirm(now);

    freshness.suspend(Duration::from_secs(4), now);
    let early = freshness.is_current(now);
    freshness.suspend(Duration::from_secs(1), now);

    assert!(early);
    assert!(!freshness.is_current(now));
}

// Guards against a confirmation that counts as new although its request was sent
// before the VM was suspended.
#[test]
fn question_from_before_the_suspension_is_as_old() {
    let sent = Instant::now() + Duration::from_mins(1);
    let woken = sent + Duration::from_millis(10);
    let mut freshness = freshness::Freshness::default();
    freshness.suspend(Duration::from_secs(6), woken);

    freshness.confirm(sent);
    let old = freshness.is_current(woken);
    freshness.confirm(woken);

    assert!(!old);
    assert!(freshness.is_current(woken));
}
