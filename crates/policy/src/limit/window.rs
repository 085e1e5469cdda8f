//! Latency samples of one measuring window.

use std::time::{Duration, Instant};

/// Fewest samples of a full window; fewer make the mean follow the noise.
const MIN_SAMPLES: u32 = 40;
/// A window of a slow target closes after this time with fewer samples.
const MAX_AGE: Duration = Duration::from_millis(250);
/// Fewest samples of a window that closes by age.
const MIN_SAMPLES_BY_AGE: u32 = 10;

/// Sum of the latencies measured since the window opened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    opened: Option<Instant>,
    samples: u32,
    seconds: f64,
    limit_in_use: bool,
}

impl Window {
    /// Adds a latency in seconds, and whether the limit was in use.
    pub fn add(&mut self, seconds: f64, limit_in_use: bool, now: Instant) {
        self.opened.get_or_insert(now);
        self.samples += 1;
        self.seconds += seconds;
        self.limit_in_use |= limit_in_use;
    }

    /// Whether the mean is worth a decision at this limit.
    pub fn is_full(&self, limit: u32, now: Instant) -> bool {
        let age = self
            .opened
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let enough = self.samples >= MIN_SAMPLES.max(limit.saturating_mul(2));
        enough || (age >= MAX_AGE && self.samples >= MIN_SAMPLES_BY_AGE)
    }

    /// Mean latency in seconds.
    pub fn mean(&self) -> f64 {
        self.seconds / f64::from(self.samples.max(1))
    }

    /// Whether the limit was reached at any sample.
    pub const fn limit_in_use(&self) -> bool {
        self.limit_in_use
    }
}
