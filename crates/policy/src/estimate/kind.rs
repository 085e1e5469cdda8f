//! Service times of one kind of work.

use std::time::{Duration, Instant};

use crate::ewma;

/// Time constant with which the count of recent requests decays.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Service times of one kind of work, and how common it has been.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    mean: ewma::Ewma,
    count: f64,
    counted_at: Instant,
}

impl Kind {
    /// A kind without samples.
    pub fn new(now: Instant) -> Self {
        Self {
            mean: ewma::Ewma::default(),
            count: 0.0,
            counted_at: now,
        }
    }

    /// Adds the service time of a request.
    pub fn add(&mut self, sample: Duration, now: Instant) {
        self.mean.add(sample);
        self.count = self.count(now) + 1.0;
        self.counted_at = now;
    }

    /// Mean service time.
    pub fn mean(&self) -> Duration {
        self.mean.mean()
    }

    /// Recent requests.
    pub fn count(&self, now: Instant) -> f64 {
        let age = self.idle_time(now);
        self.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Time since the last sample.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.counted_at)
    }
}
