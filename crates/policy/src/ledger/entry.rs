//! State of one request id.

use std::time::Instant;

use masticarch_model::attempt;

use crate::credit::allowance;

/// State of one request id.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The latest attempt.
    pub attempt: attempt::Attempt,
    /// Credit of that attempt while it runs; afterwards, the credit left for the
    /// next one.
    pub allowance: allowance::Allowance,
    /// Whether the attempt has not reported its end.
    pub running: bool,
    /// Deadline of the attempt while it runs; afterwards, when it ended.
    pub ends_by: Instant,
}
