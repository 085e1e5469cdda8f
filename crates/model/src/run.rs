//! Runs of targets.

use serde::{Deserialize, Serialize};

use crate::name;

/// One run of a target process, which is told apart from others of its service at the
/// same node by its start, and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Service of the target.
    pub service: name::Name,
    /// Start of the run, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Sequence number of its announcement, which grows within a run; the largest one
    /// when the run is over.
    pub sequence: u64,
}

impl Run {
    /// Sequence number of a run that announces nothing any more.
    pub const OVER: u64 = u64::MAX;

    /// Start and sequence number, by which the announcements of a service are ordered.
    #[must_use]
    pub const fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
