//! Long poll in which a node reports its state and waits for changes of the view.

use std::net::SocketAddr;

use masticarch_model::{delta, name, node, renewal, run, target, version, view};
use serde::{Deserialize, Serialize};

/// Load of a target, as admission control at its node measures it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service of the target.
    pub service: name::Name,
    /// Current admission limit, in requests.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Rank of the lowest priority that is admitted; 0 is the highest.
    pub admitted: u8,
}

/// Sent by a node to the leader. It renews the node's membership, announces its
/// targets, and asks for changes since the version that the node holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The node that sends the request.
    pub node: node::Node,
    /// All targets on its VM.
    pub targets: Vec<target::Target>,
    /// Renewals of those targets that identify their runs.
    pub renewals: Vec<renewal::Renewal>,
    /// Runs of targets on its VM that are leaving or gone, as far as it knows.
    pub departed: Vec<run::Run>,
    /// Current load of these targets, shown to operators.
    pub loads: Vec<Load>,
    /// Version of the view that the node holds; 0 when it holds none.
    pub held: version::Version,
    /// Longest time to delay the reply while there is nothing newer, in milliseconds.
    pub hold_ms: u32,
    /// Whether the node leaves the fleet because it shuts down gracefully.
    pub leaving: bool,
}

/// The leader's reply, sent after it has confirmed its leadership. With it, the
/// node's view is current as of the moment when it sent the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The version that the node holds after it has applied the deltas, and the deltas
    /// since the held version; none when there is nothing newer.
    Deltas(version::Version, Vec<delta::Delta>),
    /// The whole view, when the node holds none or the deltas since its version are no
    /// longer kept.
    Snapshot(Box<view::View>),
    /// This process is not the leader; the leader's address, if it is known.
    NotLeader(Option<SocketAddr>),
}
