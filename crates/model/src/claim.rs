//! Claims that make non-idempotent requests run at most once.

use serde::{Deserialize, Serialize};

use crate::{answer, attempt, name};

/// What a claim is on: one idempotency key of one team on one route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Team of the caller; none on routes open to all.
    pub team: Option<name::Name>,
    /// Route of the request.
    pub route: name::Name,
    /// The caller's idempotency key.
    pub key: Box<str>,
}

/// What is known of the request behind a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The holder may be running it.
    Running,
    /// It ran; the answer is kept unless it was too large.
    Done(Option<answer::Answer>),
    /// It cannot be known whether it ran.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// BLAKE3 digest of method, path and body.
    pub digest: [u8; 32],
    /// The attempt that holds the claim.
    pub holder: attempt::Attempt,
    /// What is known of the request.
    pub state: State,
}
