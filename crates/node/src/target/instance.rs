//! Runs of a target, as the target tells them.

use serde::{Deserialize, Serialize};

/// One run of a target and the number of its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the run.
    pub id: Box<str>,
    /// Start of the run, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Number of the announcement; grows within a run.
    pub sequence: u64,
}

impl Instance {
    /// Whether this announcement was made before another one.
    #[must_use]
    pub const fn is_before(&self, other: &Self) -> bool {
        self.started_ms < other.started_ms
            || self.started_ms == other.started_ms && self.sequence < other.sequence
    }
}
