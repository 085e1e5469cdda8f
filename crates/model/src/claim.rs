//! Claims on idempotency keys, which make non-idempotent requests run at most once.

use serde::{Deserialize, Serialize};

use crate::{answer, attempt, name};

/// What is claimed: an idempotency key, scoped to the caller's team and the route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Team of the caller; `None` on a route that is open to all.
    pub team: Option<name::Name>,
    /// Route of the request.
    pub route: name::Name,
    /// Idempotency key from the caller's request.
    pub key: Box<str>,
}

/// What is known about the execution of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The holder of the claim may be running the request.
    Running,
    /// The request ran. `None` when its answer was too large to keep.
    Done(Option<answer::Answer>),
    /// It cannot be known whether the request ran.
    Unknown,
}

/// The exclusive right of one attempt to run a request, with what is known about the
/// execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// BLAKE3 digest of method, path and body. A request with the same idempotency
    /// key and another digest is refused.
    pub digest: [u8; 32],
    /// The attempt that may run the request.
    pub holder: attempt::Attempt,
    /// What is known about the execution.
    pub state: State,
}

impl Claim {
    /// Bytes of the kept answer.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Done(Some(answer)) => answer.body.len(),
            State::Running | State::Done(None) | State::Unknown => 0,
        }
    }
}
