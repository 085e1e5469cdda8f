//! A member's view of the group.

use masticarch_model::member;

use crate::{role, term};

/// Role and term of a member, and the leader it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role of this member.
    pub role: role::Role,
    /// The latest term that this member has seen.
    pub term: term::Term,
    /// The leader of that term, if known.
    pub leader: Option<member::Id>,
    /// Whether this member leads and no member can have led before.
    pub is_first_leader: bool,
}
