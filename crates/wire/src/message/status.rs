//! State of the fleet, as shown to operators.

use masticarch_model::{incarnation, member, name, place, target, version};
use serde::{Deserialize, Serialize};

/// A member of the control group and how far it follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Control {
    /// The member.
    pub member: member::Member,
    /// Whether it leads.
    pub leads: bool,
    /// Log index that it is known to hold.
    pub matched: u64,
    /// Milliseconds since the leader last heard from it.
    pub silent_ms: u64,
}

/// A node and its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub name: name::Name,
    /// Run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Region and failure domain.
    pub place: place::Place,
    /// Version that it reported to hold.
    pub held: version::Version,
    /// Milliseconds since its last contact.
    pub silent_ms: u64,
    /// Its targets.
    pub targets: Vec<target::Target>,
    /// Load of its targets when it was last heard from.
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
    /// Priorities that are shed because the target is overloaded, the highest
    /// first.
    pub shed: Vec<name::Name>,
}

/// What is leased of one team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: name::Name,
    /// Requests per second of its limit.
    pub rate: f64,
    /// Requests per second leased to nodes.
    pub leased: f64,
    /// Requests per second that nodes report as demand.
    pub demand: f64,
}

/// State of the fleet at the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Log index applied at the leader.
    pub version: version::Version,
    /// Version of the configuration.
    pub configuration_version: version::Version,
    /// Term of the leader.
    pub term: u64,
    /// Members of the control group.
    pub members: Vec<Control>,
    /// Nodes with their targets.
    pub nodes: Vec<Node>,
    /// Limits in use.
    pub teams: Vec<Team>,
}
