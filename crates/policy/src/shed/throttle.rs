//! Early refusal where requests enter the fleet.

use std::time::{Duration, Instant};

/// Requests sent on per accepted one. Twice the accepted number keeps the
/// target's queue supplied while the answers still tell how much it accepts.
const PASSED_PER_ACCEPTED: f64 = 2.0;
/// Requests that always pass per decay time, so that recovery is noticed.
const MIN_PASSED: f64 = 1.0;
/// Time constant of the counters. The accepted part doubles about every 0.7 of
/// it after recovery, so that even 1 in 200 grows to all within 1.2 s.
const DECAY_TIME: Duration = Duration::from_millis(200);

/// Counts requests of one service and rank and those of them that a target
/// accepted, and refuses a part of the rest while the targets shed that rank.
///
/// Refusing all of them was rejected: the targets would run idle until the
/// level relaxes, and then be flooded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    requests: f64,
    accepted: f64,
    decayed_at: Option<Instant>,
}

impl Throttle {
    /// Counts a request; tells whether it passes. `shed` says that every usable
    /// target sheds its rank, `chance` is a random number from 0 to 1.
    pub fn passes(&mut self, shed: bool, chance: f64, now: Instant) -> bool {
        self.decay(now);
        let refused_share = self.refused_share();
        self.requests += 1.0;
        !shed || chance >= refused_share
    }

    /// A target accepted a request.
    pub fn record_accept(&mut self, now: Instant) {
        self.decay(now);
        self.accepted += 1.0;
    }

    /// The part of the requests that is refused while targets shed the rank.
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
