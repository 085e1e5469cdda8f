//! Whether a node's configuration counts as current.

use std::time::{Duration, Instant};

/// Longest time without confirmation. It exceeds a long poll (0.5 s), an
/// election (1.5 s) and a reconnection together, so that a change of leader
/// causes no refusals.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// Remembers when the node's configuration was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Currency {
    confirmed: Option<Instant>,
}

impl Currency {
    /// The configuration was current at this moment, which is when the node
    /// sent the confirmed request. An earlier moment than one already known
    /// has no effect.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Whether no configuration was ever confirmed.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.confirmed.is_none()
    }

    /// Whether keyed requests may be served.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.confirmed
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_AGE)
    }
}
