//! State of the replicated log at one member.

use std::net::SocketAddr;

use masticarch_wire::message::status;

/// Role of a member in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Voter that follows a leader, or waits for one.
    Follower,
    /// Voter that asks for votes or pre-votes.
    Candidate,
    /// Voter that has won the election of the term.
    Leader,
    /// Receives the log but does not vote, or is no member.
    Learner,
}

/// State of the replicated log at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role of this member.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Address of the leader's member port, if known.
    pub leader: Option<SocketAddr>,
    /// Members of the group. Only the leader knows their progress.
    pub members: Vec<status::Control>,
}
