//! State of the fleet, as operators see it.

use masticarch_model::{incarnation, member, name, place, target, version};
use serde::{Deserialize, Serialize};

/// A member of the control group and its progress in replicating the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Control {
    /// The member.
    pub member: member::Member,
    /// Whether it is the leader.
    pub leads: bool,
    /// Log index up to which it is known to have the leader's entries.
    pub matched: u64,
    /// Milliseconds since the leader last heard from it.
    pub silent_ms: u64,
}

/// A node and its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub name: name::Name,
    /// Identifies the run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Region and failure domain.
    pub place: place::Place,
    /// Version of the view that it last reported to hold.
    pub held: version::Version,
    /// Milliseconds since the leader last heard from it.
    pub silent_ms: u64,
    /// Its targets.
    pub targets: Vec<target::Target>,
    /// Load of its targets, as it last reported.
    pub loads: Vec<Load>,
}

/// Load of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service of the target.
    pub service: name::Name,
    /// Admission limit, in requests.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Priorities that are shed because the target is overloaded, highest first.
    pub shed: Vec<name::Name>,
}

/// Use of one team's rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: name::Name,
    /// Rate of its limit, in requests per second.
    pub rate: f64,
    /// Sum of the rates leased to nodes, in requests per second.
    pub leased: f64,
    /// Sum of the demand that nodes report, in requests per second.
    pub demand: f64,
}

/// State of the fleet as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Index of the last log entry applied at the leader.
    pub version: version::Version,
    /// Version of the configuration.
    pub configuration_version: version::Version,
    /// Raft term of the leader.
    pub term: u64,
    /// Members of the control group.
    pub members: Vec<Control>,
    /// Nodes with their targets.
    pub nodes: Vec<Node>,
    /// Teams whose limits are in use.
    pub teams: Vec<Team>,
}
