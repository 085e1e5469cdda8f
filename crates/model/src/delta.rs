//! Differences between versions of the published view.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{edit, incarnation, name, node, target, version};

/// What one command changed in the [`crate::view::View`] that nodes hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    /// Edits of one accepted change and the new configuration version.
    Configuration(version::Version, Vec<edit::Edit>),
    /// A node joined, or has a new incarnation that replaces the earlier one and its
    /// targets.
    Joined(node::Node),
    /// Nodes left, and their targets with them.
    Left(Vec<(name::Name, incarnation::Incarnation)>),
    /// The control group has these member ports.
    Control(Vec<SocketAddr>),
    /// A node announced its targets; the list is complete.
    Announced(name::Name, incarnation::Incarnation, Vec<target::Target>),
}
