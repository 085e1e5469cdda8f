//! Messages to the service that keeps the times of last contact.

use std::time::Duration;

use masticarch_kernel::reply;
use masticarch_model::{incarnation, name, version};
use masticarch_wire::message::sync;

/// A contact with a node, which proves that it is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the node.
    pub name: name::Name,
    /// Incarnation of the node.
    pub incarnation: incarnation::Incarnation,
    /// Version that the node holds.
    pub held: version::Version,
    /// Load of its targets.
    pub loads: Vec<sync::Load>,
}

/// The last contact with a node, and what the node then reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// Incarnation of the node.
    pub incarnation: incarnation::Incarnation,
    /// Version that the node held.
    pub held: version::Version,
    /// Time since the last contact.
    pub silent: Duration,
    /// Load of its targets.
    pub loads: Vec<sync::Load>,
}

/// A message to the service [`crate::name::LIVENESS`].
#[derive(Debug)]
pub enum Message {
    /// Whether this process leads.
    Role(bool),
    /// Records a contact with a node.
    Contact(Contact),
    /// Records the join of a new incarnation of a node.
    Joined(name::Name),
    /// Returns the remaining delay of a join of a new incarnation.
    JoinDelay(name::Name, reply::Reply<Duration>),
    /// Returns the remaining delay of a node's announcements.
    Damping(name::Name, reply::Reply<Duration>),
    /// Returns those of the given nodes that have been silent for too long; none
    /// unless this process leads.
    Silent(
        Vec<(name::Name, incarnation::Incarnation)>,
        reply::Reply<Vec<(name::Name, incarnation::Incarnation)>>,
    ),
    /// Returns the last contact with each node.
    LastContacts(reply::Reply<Vec<LastContact>>),
}
