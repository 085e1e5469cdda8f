//! Messages to the ledger of the home node.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::attempt;

use crate::refusal;

/// What a request with a caller's id may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Retry credit for the call tree.
    pub credit: u8,
    /// Whether every execution costs one credit.
    pub repeat: bool,
}

/// Messages to the ledger of the home node of a request id.
#[derive(Debug)]
pub enum Message {
    /// Enters an attempt by id: with its initial credit, and when it will have
    /// ended at the latest.
    Begin {
        /// Team and request id.
        id: Box<str>,
        /// The attempt of the entry node.
        attempt: attempt::Attempt,
        /// Credit of the route, for the first attempt.
        credit: u8,
        /// When the attempt will have ended at the latest.
        deadline: Instant,
        /// What the attempt may spend, or why it may not run.
        reply: reply::Reply<Result<Budget, refusal::Refusal>>,
    },
    /// Ends an attempt with the credit left and the executions of its tree.
    End {
        /// Team and request id.
        id: Box<str>,
        /// The attempt of the entry node.
        attempt: attempt::Attempt,
        /// Credit left.
        credit: u8,
        /// Executions; `None` when unknown.
        executions: Option<u32>,
    },
}
