//! What happened during a run.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{sample, statement};

/// What happened during a run.
#[derive(Debug, Default)]
pub struct History {
    /// Statements of targets.
    pub statements: Vec<statement::Statement>,
    /// Restarts and freezes of nodes, with their number.
    pub outages: Vec<(usize, Instant)>,
    /// Crashes of targets that were injected.
    pub crashes: u64,
    /// Executions so far at the target beside each node, over time.
    pub samples: BTreeMap<usize, Vec<sample::Sample>>,
    /// Every step, for the report of a failure.
    pub steps: Vec<String>,
}
