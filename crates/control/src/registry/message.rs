//! What the log and the other services ask of the registry.

use std::net::SocketAddr;

use masticarch_kernel::reply;
use masticarch_model::{
    catalog, change, claim, document, incarnation, name, node, outcome, target, version, view,
};

use super::{answer, presence};
use crate::agreement::event;

/// Asked of the service [`crate::name::REGISTRY`].
#[derive(Debug)]
pub enum Message {
    /// The entry at this index is committed; an empty one holds no command.
    /// Sent in the order of the log.
    Committed(u64, Vec<u8>),
    /// See [`event::Event::Members`].
    Members(u64, Vec<SocketAddr>),
    /// Replaces the catalog.
    Install(event::Snapshot),
    /// Encodes the catalog; `None` when it cannot be encoded.
    TakeSnapshot(reply::Reply<Option<event::Snapshot>>),
    /// Whether this process leads; sent once for each term that it leads.
    Role(event::Leadership),
    /// See [`event::Event::CaughtUp`].
    CaughtUp,
    /// The result of the command at an index, once it is applied; `None` when
    /// it is no longer kept.
    Outcome(u64, reply::Reply<Option<outcome::Outcome>>),
    /// Answers once something newer than the held version is published.
    Poll(version::Version, reply::Reply<answer::Answer>),
    /// Answers a poll at once.
    Current(version::Version, reply::Reply<answer::Answer>),
    /// Whether the catalog knows a node with these targets.
    Presence(
        node::Node,
        Vec<target::Target>,
        reply::Reply<presence::Presence>,
    ),
    /// The nodes that have joined.
    Nodes(reply::Reply<Vec<(name::Name, incarnation::Incarnation)>>),
    /// The claim on a subject.
    Claim(claim::Subject, reply::Reply<Option<claim::Claim>>),
    /// Settled claims whose retention is over; none unless this process leads.
    ExpiredClaims(reply::Reply<Vec<claim::Subject>>),
    /// The result that a change would have.
    Check(change::Change, reply::Reply<outcome::Outcome>),
    /// The latest accepted changes, up to this number.
    History(u32, reply::Reply<Vec<catalog::Record>>),
    /// Whether a run of a node is present. Resolves once everything sent to the
    /// registry before is applied, and the other services are told.
    HasJoined(name::Name, incarnation::Incarnation, reply::Reply<bool>),
    /// The whole view.
    View(reply::Reply<view::View>),
    /// Reads the document that the present configuration was made from.
    Document(reply::Reply<Option<document::Document>>),
}

impl From<event::Event> for Message {
    fn from(event: event::Event) -> Self {
        match event {
            event::Event::Committed(index, command) => Self::Committed(index, command),
            event::Event::Members(index, addresses) => Self::Members(index, addresses),
            event::Event::Install(snapshot) => Self::Install(snapshot),
            event::Event::TakeSnapshot(reply) => Self::TakeSnapshot(reply),
            event::Event::Role(leadership) => Self::Role(leadership),
            event::Event::CaughtUp => Self::CaughtUp,
        }
    }
}
