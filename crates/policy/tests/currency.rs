//! Whether a node's configuration counts as current.

use std::time::{Duration, Instant};

use masticarch_policy::currency;

// Guards against a withdrawn key that works on at a node that is cut off.
#[test]
fn configuration_is_current_for_five_seconds() {
    let at = Instant::now();
    let mut currency = currency::Currency::default();
    let unconfirmed = currency.is_current(at);

    currency.confirm(at);

    assert!(!unconfirmed);
    assert!(currency.is_current(at + Duration::from_millis(4999)));
    assert!(!currency.is_current(at + currency::MAX_AGE));
}

// Guards against a late reply that moves the confirmation back.
#[test]
fn earlier_confirmation_has_no_effect() {
    let at = Instant::now();
    let mut currency = currency::Currency::default();
    currency.confirm(at + Duration::from_secs(3));

    currency.confirm(at);

    assert!(currency.is_current(at + Duration::from_secs(7)));
}
