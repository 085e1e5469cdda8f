//! What the registry and the ports ask of the membership.

use std::time::Duration;

use masticarch_kernel::reply;
use masticarch_model::{incarnation, name, version};
use masticarch_wire::message::sync;

/// A sign of life of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name of the node.
    pub name: name::Name,
    /// Run of the node.
    pub incarnation: incarnation::Incarnation,
    /// Version that it holds.
    pub held: version::Version,
    /// Load of its targets.
    pub loads: Vec<sync::Load>,
}

/// When a node was last heard from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Run of the node.
    pub incarnation: incarnation::Incarnation,
    /// Version that it held.
    pub held: version::Version,
    /// Time since its last contact.
    pub silent: Duration,
    /// Load of its targets then.
    pub loads: Vec<sync::Load>,
}

/// Asked of the service [`crate::name::LIVENESS`].
#[derive(Debug)]
pub enum Message {
    /// Whether this process leads.
    Role(bool),
    /// A node was heard from.
    Contact(Contact),
    /// A new incarnation of a node joined.
    Joined(name::Name),
    /// The time for which the join of a new incarnation is held back.
    JoinDelay(name::Name, reply::Reply<Duration>),
    /// The time for which announcements of a node are held back.
    Damping(name::Name, reply::Reply<Duration>),
    /// Those of the given nodes that are silent for too long.
    Silent(
        Vec<(name::Name, incarnation::Incarnation)>,
        reply::Reply<Vec<(name::Name, incarnation::Incarnation)>>,
    ),
    /// When each node was last heard from.
    Silences(reply::Reply<Vec<Silence>>),
}
