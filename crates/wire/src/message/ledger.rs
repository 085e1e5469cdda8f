//! Calls to the ledger of another node, which recognises resends by request id and
//! keeps their retry credit.

use masticarch_model::{attempt, code};
use serde::{Deserialize, Serialize};

/// Sent by an entry node to the home node of a request id, whose ledger has the
/// entry of that id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Records the start of an attempt.
    Begin {
        /// Team and request id.
        id: Box<str>,
        /// The attempt of the entry node.
        attempt: attempt::Attempt,
        /// Retry credit of the route.
        credit: u8,
        /// Longest time until the attempt ends, in milliseconds.
        remaining_ms: u64,
    },
    /// Records the end of an attempt.
    End {
        /// Team and request id.
        id: Box<str>,
        /// The attempt of the entry node.
        attempt: attempt::Attempt,
        /// Retry credit that is left.
        credit: u8,
        /// Number of executions in the call tree; `None` when it is not known.
        executions: Option<u32>,
    },
}

/// The home node's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt may run with this retry credit. The flag is the value of the
    /// header [`crate::header::REPEAT`].
    Allowed(u8, bool),
    /// The attempt may not run; the result code and its detail.
    Refused(code::Code, Box<str>),
    /// The end of the attempt is recorded.
    Noted,
}
