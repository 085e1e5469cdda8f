//! Long poll of a node for changes.

use std::net::SocketAddr;

use masticarch_model::{delta, name, node, target, version, view};
use serde::{Deserialize, Serialize};

/// Load of a target, as admission beside it sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service of the target.
    pub service: name::Name,
    /// Present admission limit, in requests.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Lowest priority rank that is admitted: 0 is the highest.
    pub admitted: u8,
}

/// Sent by a node: who it is, what its targets are, and what it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The node; renews its membership.
    pub node: node::Node,
    /// All targets beside it; empty when there are none.
    pub targets: Vec<target::Target>,
    /// Present load of these targets, for operators.
    pub loads: Vec<Load>,
    /// Version that the node holds; 0 when it holds nothing.
    pub held: version::Version,
    /// Longest time to hold the answer when there is nothing newer, in
    /// milliseconds.
    pub hold_ms: u32,
    /// Whether the node leaves after a graceful shutdown.
    pub leaving: bool,
}

/// The leader's answer, given after it has confirmed its leadership. The node
/// is current as of the moment it sent the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Steps after the held version, none when nothing is newer, and the
    /// version reached by them.
    Deltas(version::Version, Vec<delta::Delta>),
    /// The whole state, when steps since the held version are no longer kept.
    Snapshot(Box<view::View>),
    /// This process does not lead.
    NotLeader(Option<SocketAddr>),
}
