//! One request id.

use std::time::Instant;

use masticarch_model::attempt;

use crate::credit::loan;

/// One request id.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The latest attempt.
    pub attempt: attempt::Attempt,
    /// What that attempt may spend, or what it has left.
    pub loan: loan::Loan,
    /// Whether it still runs.
    pub running: bool,
    /// When it will have ended at the latest, or has ended.
    pub ends_by: Instant,
}
