//! Whether a node's configuration counts as current.

use std::time::{Duration, Instant};

/// Longest time without confirmation after which the configuration still counts
/// as current. It exceeds a long poll (0.5 s), an election (1.5 s) and a
/// reconnection together, so that a change of leader causes no refusals.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// When the node's configuration was last confirmed to be current, corrected for
/// time during which the VM was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
    suspended: Option<(Instant, Duration)>,
}

impl Freshness {
    /// Records that the configuration was current at `at`, the time at which the
    /// node sent the request that was confirmed. A time before the last
    /// confirmation has no effect.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(self.before_suspension(at));
    }

    /// Records that the VM was suspended for `suspended_for` until `now`. The
    /// clock did not advance in that time.
    pub fn suspend(&mut self, suspended_for: Duration, now: Instant) {
        self.confirmed = self.confirmed.and_then(|at| at.checked_sub(suspended_for));
        self.suspended = Some((now, suspended_for));
    }

    /// Converts a time read before the end of the last suspension to the
    /// present clock, as if the clock had advanced during the suspension; later
    /// times stay as they are. `None` when the result cannot be represented.
    #[must_use]
    pub fn before_suspension(&self, at: Instant) -> Option<Instant> {
        match self.suspended {
            Some((end, suspended_for)) if at < end => at.checked_sub(suspended_for),
            _ => Some(at),
        }
    }

    /// Whether the configuration was never confirmed.
    #[must_use]
    pub const fn is_unconfirmed(&self) -> bool {
        self.confirmed.is_none()
    }

    /// Whether requests that need an API key may be served.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.confirmed
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_AGE)
    }
}
