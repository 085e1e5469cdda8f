//! State of the replicated log at one member.

use std::net::SocketAddr;

use masticarch_wire::message::status;

/// What a member is in the present term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Receives the log without a vote.
    Learner,
}

/// State of the replicated log at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role of this member.
    pub role: Role,
    /// Present term.
    pub term: u64,
    /// Address of the leader's member port, if known.
    pub leader: Option<SocketAddr>,
    /// Members of the group; progress is known at the leader only.
    pub members: Vec<status::Control>,
}
