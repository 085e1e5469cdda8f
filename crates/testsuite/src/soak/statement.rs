//! Statements of targets about themselves.

use std::time::Instant;

/// A statement that a target made during a run.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Number of the node beside the target.
    pub node: usize,
    /// Rate limit in requests per second; `None` states that the target leaves.
    pub rate_limit: Option<u32>,
    /// When it was first made.
    pub from: Instant,
    /// When it ended; `None` while it holds.
    pub to: Option<Instant>,
}
