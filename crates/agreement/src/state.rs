//! State that a member keeps while it has a role.

use masticarch_model::member;

use crate::{leader, role, tally};

/// The role of a member with the state that belongs to it.
#[derive(Debug)]
pub enum State {
    /// Follows the leader, if one is known.
    Follower(Option<member::Id>),
    /// Collects answers to [`crate::message::Body::PreVote`].
    PreCandidate(tally::Tally),
    /// Collects votes.
    Candidate(tally::Tally),
    /// Leads.
    Leader(leader::Leader),
}

impl State {
    /// The role without its state.
    pub fn role(&self) -> role::Role {
        match self {
            Self::Follower(_) => role::Role::Follower,
            Self::PreCandidate(_) => role::Role::PreCandidate,
            Self::Candidate(_) => role::Role::Candidate,
            Self::Leader(_) => role::Role::Leader,
        }
    }

    /// The leader's state, if this member leads.
    pub const fn leader(&self) -> Option<&leader::Leader> {
        match self {
            Self::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Mutable access to what [`State::leader`] returns.
    pub fn leader_mut(&mut self) -> Option<&mut leader::Leader> {
        match self {
            Self::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
