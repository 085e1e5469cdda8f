//! Latency samples of one measurement window.

use std::time::{Duration, Instant};

/// Fewest samples of a full window. With fewer, noise dominates the mean.
const MIN_SAMPLES: u32 = 40;
/// Age from which a window with [`MIN_SAMPLES_BY_AGE`] samples is full.
const MAX_AGE: Duration = Duration::from_millis(250);
/// Fewest samples of a window that is full because of its age.
const MIN_SAMPLES_BY_AGE: u32 = 10;

/// Latencies measured since the first sample of the window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    opened: Option<Instant>,
    samples: u32,
    seconds: f64,
    limit_in_use: bool,
}

impl Window {
    /// Adds a latency, and whether the limit was in use when the request ended.
    pub fn add(&mut self, seconds: f64, limit_in_use: bool, now: Instant) {
        self.opened.get_or_insert(now);
        self.samples += 1;
        self.seconds += seconds;
        self.limit_in_use |= limit_in_use;
    }

    /// Whether there are enough samples to adjust the limit: at least two for each
    /// request that `limit` allows in flight, or the minimum of an old window.
    pub fn is_full(&self, limit: u32, now: Instant) -> bool {
        let age = self
            .opened
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let enough = self.samples >= MIN_SAMPLES.max(limit.saturating_mul(2));
        enough || (age >= MAX_AGE && self.samples >= MIN_SAMPLES_BY_AGE)
    }

    /// Mean latency in seconds; 0 without samples.
    pub fn mean(&self) -> f64 {
        self.seconds / f64::from(self.samples.max(1))
    }

    /// Whether the limit was in use at any sample.
    pub const fn limit_in_use(&self) -> bool {
        self.limit_in_use
    }
}
