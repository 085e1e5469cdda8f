//! Calls of nodes that claim non-idempotent requests and settle the claims.

use std::net::SocketAddr;

use masticarch_model::{attempt, claim, settlement};
use serde::{Deserialize, Serialize};

/// Sent by an entry node to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Claims a request before it is sent to a target.
    Claim {
        /// What is claimed.
        subject: claim::Subject,
        /// BLAKE3 digest of method, path and body.
        digest: [u8; 32],
        /// The attempt that claims the request.
        attempt: attempt::Attempt,
    },
    /// Settles a claim after the request has ended.
    Settle {
        /// What was claimed.
        subject: claim::Subject,
        /// The attempt that holds the claim.
        attempt: attempt::Attempt,
        /// How the request ended.
        settlement: settlement::Settlement,
    },
}

/// The reply, sent after the command has been committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The attempt holds the claim and may run the request.
    Claimed,
    /// Another attempt holds the claim, or the claim is settled.
    Held(claim::Claim),
    /// The settlement is committed.
    Settled,
    /// The command could not be committed in time. The node may send the request
    /// again with the same attempt.
    Unavailable,
    /// This process is not the leader; the leader's address, if it is known.
    NotLeader(Option<SocketAddr>),
}
