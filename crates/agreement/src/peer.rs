//! What a leader reports of another member.

use std::time::Duration;

use masticarch_model::member;

use crate::index;

/// What a leader knows of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the member.
    pub id: member::Id,
    /// Index up to which its log equals the leader's, durably.
    pub matched: index::Index,
    /// Time since it was last heard from.
    pub silent: Duration,
}
