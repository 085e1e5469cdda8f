//! Shares of team limits, leased to nodes.

use std::net::SocketAddr;

use masticarch_model::{incarnation, name};
use serde::{Deserialize, Serialize};

/// Part of a team's limit. Single precision halves the reports, which are most of
/// the control traffic between regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests per second.
    pub rate: f32,
    /// Capacity of the local bucket, in requests.
    pub burst: f32,
}

/// A node's report on one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The team.
    pub team: name::Name,
    /// Share that the node holds and uses from now on.
    pub held: Share,
    /// Tokens released to the owner with this report.
    pub released: f32,
    /// Demand measured at the node, in requests per second, refused ones
    /// included.
    pub demand: f32,
    /// Tokens that waiting requests need now, beyond those in the bucket.
    pub wanted: f32,
}

/// Sent by a node, one at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the node.
    pub node: name::Name,
    /// Run of the node.
    pub incarnation: incarnation::Incarnation,
    /// Teams that are active at the node or of which it holds a share.
    pub reports: Vec<Report>,
}

/// What the owner grants for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The team.
    pub team: name::Name,
    /// Share that the node may use; a smaller one than held applies at once.
    pub share: Share,
    /// Tokens moved from the owner's pool into the node's bucket.
    pub tokens: f32,
    /// Whole tokens for waiting requests, to be used within 400 ms of the
    /// request.
    pub drawn: f32,
}

/// The owner's answer, given after it has confirmed its leadership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A grant for every reported team.
    Grants(Vec<Grant>),
    /// This process does not lead.
    NotLeader(Option<SocketAddr>),
}
