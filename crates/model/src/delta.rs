//! Steps from one published version to a later one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{edit, incarnation, name, node, target, version};

/// One published step, as nodes receive it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    /// Edits of one accepted change and the new configuration version.
    Configuration(version::Version, Vec<edit::Edit>),
    /// A node joined or has a new incarnation; its earlier targets are gone.
    Joined(node::Node),
    /// Nodes left with their targets.
    Left(Vec<(name::Name, incarnation::Incarnation)>),
    /// Member ports of the control group.
    Control(Vec<SocketAddr>),
    /// All targets of a node.
    Announced(name::Name, incarnation::Incarnation, Vec<target::Target>),
}
