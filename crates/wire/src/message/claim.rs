//! Claims on non-idempotent requests.

use std::net::SocketAddr;

use masticarch_model::{attempt, claim, settlement};
use serde::{Deserialize, Serialize};

/// Sent by an entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Claims a request before it is sent to a target.
    Claim {
        /// What is claimed.
        subject: claim::Subject,
        /// Digest of method, path and body.
        digest: [u8; 32],
        /// The claiming attempt.
        attempt: attempt::Attempt,
    },
    /// Settles a claim.
    Settle {
        /// What was claimed.
        subject: claim::Subject,
        /// The attempt that holds the claim.
        attempt: attempt::Attempt,
        /// How the request ended.
        settlement: settlement::Settlement,
    },
}

/// The answer, given after the command is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt holds the claim and may run the request.
    Claimed,
    /// Another attempt holds or held the claim.
    Held(claim::Claim),
    /// The claim is settled.
    Settled,
    /// The command could not be committed in time; ask again with the same
    /// attempt.
    Unavailable,
    /// This process does not lead.
    NotLeader(Option<SocketAddr>),
}
