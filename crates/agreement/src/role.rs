//! Roles of a member.

/// The role of a member in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the group.
    Leader,
}
