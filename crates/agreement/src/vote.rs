//! The persistent term and vote.

use masticarch_model::member;
use serde::{Deserialize, Serialize};

use crate::term;

/// The current term and the vote given in it. Persisted before any message
/// that depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The latest term this member has seen.
    pub term: term::Term,
    /// Whom this member voted for in that term.
    pub candidate: Option<member::Id>,
}
