//! Measured demand of a team.

use std::time::{Duration, Instant};

/// Time constant with which the count decays.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Demand of a team at one node, measured as an exponentially decaying count.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    count: f64,
    counted_at: Instant,
}

impl Demand {
    /// A count of 0.
    pub const fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            counted_at: now,
        }
    }

    /// Counts a request.
    pub fn add(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.counted_at = now;
    }

    /// Requests per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) / DECAY_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        self.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
