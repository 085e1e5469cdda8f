//! Runs of targets that renew their announcements.

use serde::{Deserialize, Serialize};

use crate::run;

/// A run that announces itself, and for how long it has renewed its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The run, as its last announcement names it.
    pub run: run::Run,
    /// Time from its first to its last announcement, in milliseconds.
    pub heard_ms: u64,
}

impl Renewal {
    /// Longest time by which an announcement arrives late, in milliseconds.
    pub const MAX_LATENESS_MS: u64 = 10_000;

    /// Whether the run is known to be alive, because late announcements of a run that
    /// has ended arrive over a shorter time.
    #[must_use]
    pub const fn is_alive(&self) -> bool {
        self.heard_ms >= Self::MAX_LATENESS_MS
    }
}
