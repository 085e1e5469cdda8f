//! Questions to the ledger of another node.

use masticarch_model::{attempt, code};
use serde::{Deserialize, Serialize};

/// Sent by an entry node to the home node of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Enters an attempt.
    Begin {
        /// Team and request id.
        id: Box<str>,
        /// The attempt of the entry node.
        attempt: attempt::Attempt,
        /// Credit of the route.
        credit: u8,
        /// Time until the attempt will have ended at the latest, in
        /// milliseconds.
        remaining_ms: u64,
    },
    /// Ends an attempt.
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

/// The home node's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt may run with this credit, and with the repeat mark if set.
    Allowed(u8, bool),
    /// The attempt may not run.
    Refused(code::Code, Box<str>),
    /// The end is noted.
    Noted,
}
