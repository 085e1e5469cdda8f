//! Messages to the ledger of the home node.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::attempt;

use crate::refusal;

/// Retry credit that one attempt of a request with a caller's id may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Retry credit for the call tree.
    pub credit: u8,
    /// Whether every execution in the call tree costs one credit.
    pub repeat: bool,
}

/// Messages to the ledger of the home node of a request id.
#[derive(Debug)]
pub enum Message {
    /// Enters an attempt of the request with this id.
    Begin {
        /// Team and request id.
        id: Box<str>,
        /// Identifies the attempt; set by the entry node.
        attempt: attempt::Attempt,
        /// Retry credit of the route; counts for the first attempt only.
        credit: u8,
        /// Time by which the attempt will have ended.
        deadline: Instant,
        /// Retry credit that the attempt may spend, or why it may not run.
        reply: reply::Reply<Result<Allowance, refusal::Refusal>>,
    },
    /// Ends an attempt.
    End {
        /// Team and request id.
        id: Box<str>,
        /// Identifies the attempt; set by the entry node.
        attempt: attempt::Attempt,
        /// Retry credit left.
        credit: u8,
        /// Executions in the call tree; `None` when their number is unknown.
        executions: Option<u32>,
    },
}
