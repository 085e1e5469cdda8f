//! Messages to the registry from the log and from other services.

use std::net::SocketAddr;
use std::sync::Arc;

use masticarch_kernel::reply;
use masticarch_model::{
    catalog, change, claim, document, incarnation, name, node, outcome, renewal, run, target,
    version, view,
};

use super::{answer, registration};
use crate::agreement::event;

/// A message to the service [`crate::name::REGISTRY`].
#[derive(Debug)]
pub enum Message {
    /// See [`event::Event::Committed`].
    Committed(u64, Arc<[u8]>),
    /// See [`event::Event::Members`].
    Members(u64, Vec<SocketAddr>),
    /// Replaces the catalog.
    Install(event::Snapshot),
    /// Encodes the catalog; `None` when it cannot be encoded.
    TakeSnapshot(reply::Reply<Option<event::Snapshot>>),
    /// See [`event::Event::Role`].
    Role(event::Leadership),
    /// See [`event::Event::CaughtUp`].
    CaughtUp,
    /// Returns the result of the command at an index once it is applied; `None`
    /// when it is no longer kept.
    Outcome(u64, reply::Reply<Option<outcome::Outcome>>),
    /// Answers a poll once something newer than the held version is published.
    Poll(version::Version, reply::Reply<answer::Answer>),
    /// Answers a poll at once.
    Current(version::Version, reply::Reply<answer::Answer>),
    /// Compares a node and the targets that it announces with its record in the
    /// catalog. The reply has the targets to record, with those of departed runs marked
    /// as draining.
    Registration(
        node::Node,
        Vec<target::Target>,
        Vec<renewal::Renewal>,
        reply::Reply<(registration::Registration, Vec<target::Target>)>,
    ),
    /// Returns those of the runs at a node whose departure is not recorded.
    Unrecorded(name::Name, Vec<run::Run>, reply::Reply<Vec<run::Run>>),
    /// Returns the nodes that have joined.
    Nodes(reply::Reply<Vec<(name::Name, incarnation::Incarnation)>>),
    /// Returns the claim on a subject.
    Claim(claim::Subject, reply::Reply<Option<claim::Claim>>),
    /// Returns settled claims whose retention is over, up to a fixed number; none
    /// unless this process leads.
    ExpiredClaims(reply::Reply<Vec<claim::Subject>>),
    /// Returns the result that a change would have, without applying it.
    Check(change::Change, reply::Reply<outcome::Outcome>),
    /// Returns the latest accepted changes, up to this number.
    History(u32, reply::Reply<Vec<catalog::Record>>),
    /// Returns whether this incarnation of a node has joined. When the reply arrives,
    /// the registry has applied all messages that were sent to it earlier, and has
    /// passed their effects on to the other services.
    HasJoined(name::Name, incarnation::Incarnation, reply::Reply<bool>),
    /// Returns the whole view.
    View(reply::Reply<view::View>),
    /// Returns the document from which the current configuration was made.
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
