//! Calls of operators.

use std::net::SocketAddr;

use masticarch_model::{change, code, configuration, finding, member, name, version};
use serde::{Deserialize, Serialize};

use super::status;

/// Sent by the `masticarch` tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Commits a change.
    Apply(change::Change),
    /// Checks a change against the current configuration without committing it.
    Check(change::Change),
    /// Reads the current configuration.
    Get,
    /// Lists up to this number of the latest changes.
    History(u32),
    /// Reads the state of the fleet.
    Status,
    /// Asks a node to drain: its targets take no new requests.
    Drain(name::Name),
    /// Adds a member to the control group, as a learner.
    AddMember(member::Member),
    /// Makes a learner a voter.
    PromoteMember(member::Id),
    /// Removes a member from the control group.
    RemoveMember(member::Id),
}

/// An accepted change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Configuration version that the change resulted in.
    pub version: version::Version,
    /// Id of the change.
    pub id: u128,
    /// Name of the operator's credential.
    pub operator: name::Name,
    /// One line for each edit.
    pub summary: Vec<Box<str>>,
}

/// The reply to an operator's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// An applied change is committed, or a checked one would be accepted; the
    /// resulting configuration version.
    Accepted(version::Version),
    /// The change is based on another version than this one, which is current.
    Conflict(version::Version),
    /// The change would make the configuration faulty.
    Faulty(Vec<finding::Finding>),
    /// The current configuration and its version.
    Configuration(version::Version, Box<configuration::Configuration>),
    /// The latest changes, newest first.
    History(Vec<Entry>),
    /// State of the fleet.
    Status(Box<status::Status>),
    /// The request was carried out and has no further result.
    Done,
    /// The request was refused, with a result code and its detail. With
    /// [`code::Code::TimeoutOutcomeUnknown`] it may have been carried out.
    Refused(code::Code, Box<str>),
    /// This process is not the leader; the leader's address, if it is known.
    NotLeader(Option<SocketAddr>),
}
