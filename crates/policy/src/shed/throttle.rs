//! Adaptive throttling at the entry nodes.

use std::time::{Duration, Instant};

/// Requests passed per accepted one. Twice the accepted number keeps the target's
/// queue filled while its answers still show how much it accepts.
const PASSED_PER_ACCEPTED: f64 = 2.0;
/// Requests that always pass per [`DECAY_TIME`], so that recovery is detected.
const MIN_PASSED: f64 = 1.0;
/// Time constant with which the counters decay. After recovery the accepted share
/// doubles about every 0.7 time constants, so that it grows from 1 in 200 to all
/// requests within 1.2 s.
const DECAY_TIME: Duration = Duration::from_millis(200);

/// Counts the requests of one service and rank and how many of them targets
/// accepted, and refuses some of them while the targets shed that rank.
///
/// It does not refuse all of them: the targets would be idle until their level
/// relaxes, and then be flooded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    requests: f64,
    accepted: f64,
    decayed_at: Option<Instant>,
}

impl Throttle {
    /// Records a request and returns whether it passes. `shed` tells whether every
    /// usable target sheds its rank; `chance` is a random number from 0 to 1.
    pub fn passes(&mut self, shed: bool, chance: f64, now: Instant) -> bool {
        self.decay(now);
        let refused_share = self.refused_share();
        self.requests += 1.0;
        !shed || chance >= refused_share
    }

    /// Records that a target accepted a request.
    pub fn record_accept(&mut self, now: Instant) {
        self.decay(now);
        self.accepted += 1.0;
    }

    /// Fraction of the requests that is refused while targets shed the rank.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let passed = PASSED_PER_ACCEPTED * self.accepted + MIN_PASSED;
        ((self.requests - passed) / (self.requests + 1.0)).max(0.0)
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .decayed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay_factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.requests *= decay_factor;
        self.accepted *= decay_factor;
        self.decayed_at = Some(now);
    }
}
