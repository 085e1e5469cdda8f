//! Nodes of the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{incarnation, name, place};

/// A node as the rest of the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name from its settings, unique in the fleet.
    pub name: name::Name,
    /// Identifies the run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Region and failure domain.
    pub place: place::Place,
    /// Address of its peer port, where it receives requests from other nodes.
    pub peer: SocketAddr,
}
