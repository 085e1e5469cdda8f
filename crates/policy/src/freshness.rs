//! Whether a node's configuration counts as current.

use std::time::{Duration, Instant};

/// Longest time without confirmation. It exceeds a long poll (0.5 s), an
/// election (1.5 s) and a reconnection together, so that a change of leader
/// causes no refusals.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// Remembers when the node's configuration was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Instant>,
    suspended: Option<(Instant, Duration)>,
}

impl Freshness {
    /// The configuration was current at this moment, which is when the node
    /// sent the confirmed request. An earlier moment than one already known
    /// has no effect.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(self.before_suspension(at));
    }

    /// The VM was suspended for `time` until `now`, which the clock did not
    /// count.
    pub fn suspend(&mut self, suspended_for: Duration, now: Instant) {
        self.confirmed = self.confirmed.and_then(|at| at.checked_sub(suspended_for));
        self.suspended = Some((now, suspended_for));
    }

    /// A moment of the clock as it would read had the clock counted the last
    /// suspension; `None` when that lies before the start of the clock.
    #[must_use]
    pub fn before_suspension(&self, at: Instant) -> Option<Instant> {
        match self.suspended {
            Some((end, suspended_for)) if at < end => at.checked_sub(suspended_for),
            _ => Some(at),
        }
    }

    /// Whether no configuration was ever confirmed.
    #[must_use]
    pub const fn is_unconfirmed(&self) -> bool {
        self.confirmed.is_none()
    }

    /// Whether keyed requests may be served.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.confirmed
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_AGE)
    }
}
