//! Outlier detection for one target.

use std::time::{Duration, Instant};

/// Consecutive failures after which a target should be ejected.
const MIN_CONSECUTIVE_FAILURES: u32 = 5;
/// Fewest recent requests for which the failure ratio is considered.
const MIN_RECENT_REQUESTS: f64 = 10.0;
/// Time constant with which the counts of recent requests and failures decay.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Duration of the first ejection. It doubles with each further ejection until a
/// request succeeds while the target is not ejected.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Failures and ejection of one target, as one node observed them.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    consecutive_failures: u32,
    recent_requests: f64,
    recent_failures: f64,
    decayed_at: Option<Instant>,
    ejected_until: Option<Instant>,
    next_ejection_time: Duration,
}

impl Default for Detector {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            recent_requests: 0.0,
            recent_failures: 0.0,
            decayed_at: None,
            ejected_until: None,
            next_ejection_time: BASE_EJECTION_TIME,
        }
    }
}

impl Detector {
    /// Records a request that succeeded.
    pub fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.recent_requests += 1.0;
        self.consecutive_failures = 0;
        if !self.is_ejected(now) {
            self.next_ejection_time = BASE_EJECTION_TIME;
        }
    }

    /// Records a request that failed; returns whether the target should be ejected.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.recent_requests += 1.0;
        self.recent_failures += 1.0;
        self.consecutive_failures += 1;
        let most_failed = self.recent_requests >= MIN_RECENT_REQUESTS
            && self.recent_failures > self.recent_requests / 2.0;
        !self.is_ejected(now)
            && (self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES || most_failed)
    }

    /// Ejects the target. The ejection ends by itself; if the first request after
    /// it fails, the target should be ejected again, for twice as long.
    pub fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + self.next_ejection_time);
        self.next_ejection_time = (self.next_ejection_time * 2).min(MAX_EJECTION_TIME);
        self.consecutive_failures = MIN_CONSECUTIVE_FAILURES - 1;
        self.recent_requests = 0.0;
        self.recent_failures = 0.0;
    }

    /// Whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .decayed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay_factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.recent_requests *= decay_factor;
        self.recent_failures *= decay_factor;
        self.decayed_at = Some(now);
    }
}
