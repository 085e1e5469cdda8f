//! Calls in which nodes report demand and lease shares of the teams' rate limits.

use std::net::SocketAddr;

use masticarch_model::{incarnation, name};
use serde::{Deserialize, Serialize};

/// A share of a team's rate limit. Single precision halves the size of the reports,
/// which are most of the control traffic between regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests per second.
    pub rate: f32,
    /// Capacity of the node's token bucket, in requests.
    pub burst: f32,
}

/// A node's report on one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The team.
    pub team: name::Name,
    /// Share that the node holds and uses from now on.
    pub held: Share,
    /// Tokens that the node gives back to the leader with this report.
    pub released: f32,
    /// Demand measured at the node, in requests per second, including refused
    /// requests.
    pub demand: f32,
    /// Tokens that waiting requests need now, beyond those in the bucket.
    pub wanted: f32,
}

/// Sent by a node to the leader. A node has at most one such request in flight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the node.
    pub node: name::Name,
    /// Identifies the run of the node's process.
    pub incarnation: incarnation::Incarnation,
    /// One report for each team that is active at the node or of whose limit it holds
    /// a share.
    pub reports: Vec<Report>,
}

/// What the leader grants to a node for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The team.
    pub team: name::Name,
    /// Share that the node may use. One that is smaller than the held share applies
    /// at once.
    pub share: Share,
    /// Tokens that move from the leader's pool into the node's bucket.
    pub tokens: f32,
    /// Whole tokens for waiting requests. The node must use them within 400 ms of
    /// sending the request.
    pub drawn: f32,
}

/// The leader's reply, sent after it has confirmed its leadership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A grant for every reported team.
    Grants(Vec<Grant>),
    /// This process is not the leader; the leader's address, if it is known.
    NotLeader(Option<SocketAddr>),
}
