//! Executions at a target over time.

use std::collections::BTreeMap;
use std::time::Instant;

/// Executions at a target up to a moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When they were read.
    pub at: Instant,
    /// Their number.
    pub total: u64,
    /// Their number by entry address.
    pub by_entry: BTreeMap<String, u64>,
}
