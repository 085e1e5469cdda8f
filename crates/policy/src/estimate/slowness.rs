//! How slow one target is, compared with all targets of its service.

use std::time::{Duration, Instant};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Time constant with which the ratio returns to 1 without samples. A target that is avoided
/// sends none, and would otherwise seem slow for good.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Ratio of the latencies of one target to those of its service.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    ratio: f64,
    updated: Instant,
}

impl Slowness {
    /// The slowness of a target without samples: 1.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            ratio: 1.0,
            updated: now,
        }
    }

    /// Records the latency of a request, where `expected` is the mean of the service for
    /// requests of this kind.
    pub fn record(&mut self, latency: Duration, expected: Duration, now: Instant) {
        if expected.is_zero() {
            return;
        }
        let sample = latency.as_secs_f64() / expected.as_secs_f64();
        let ratio = self.ratio(now);
        self.ratio = ratio + SAMPLE_WEIGHT * (sample - ratio);
        self.updated = now;
    }

    /// The ratio at `now`.
    #[must_use]
    pub fn ratio(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        let decay = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        1.0 + (self.ratio - 1.0) * decay
    }

    /// The expected latency at this target, where `expected` is the mean of the service.
    #[must_use]
    pub fn apply(&self, expected: Duration, now: Instant) -> Duration {
        Duration::try_from_secs_f64(expected.as_secs_f64() * self.ratio(now)).unwrap_or(expected)
    }
}
