//! Runs of targets.

use serde::{Deserialize, Serialize};

use crate::name;

/// One run of a target process, which is told apart from others of its service at the
/// same node by its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Service of the target.
    pub service: name::Name,
    /// Start of the run, in milliseconds of Unix time.
    pub started_ms: u64,
}
