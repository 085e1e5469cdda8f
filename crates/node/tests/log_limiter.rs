//! Rate limit on the log lines that decisions write.

use std::time::{Duration, Instant};

use masticarch_node::log_limiter;
use prometheus::IntCounter;

// Guards against a log that grows with the load, and against lines that are dropped
// without being counted.
#[test]
fn lines_are_bounded_and_the_rest_is_counted() {
    let now = Instant::now();
    let suppressed = IntCounter::new("suppressed", "lines").unwrap();
    let limiter = log_limiter::Limiter::new(suppressed.clone(), now);

    let first = (0..1_000).filter(|_| limiter.allow(now)).count();
    let later = limiter.allow(now + Duration::from_secs(1));

    assert_eq!(first, 20);
    assert_eq!(suppressed.get(), 980);
    assert!(later);
}
