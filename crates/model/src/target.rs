//! Targets that nodes announce.

use serde::{Deserialize, Serialize};

use crate::name;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The target takes new requests.
    Serving,
    /// The target finishes the requests that it has and takes no new ones.
    Draining,
}

/// A server of one service, as the node on the same VM announces it. Other nodes
/// reach it through the peer port of that node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it serves.
    pub service: name::Name,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes new requests.
    pub state: State,
}
