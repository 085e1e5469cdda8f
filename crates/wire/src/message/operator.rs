//! Operators' calls.

use std::net::SocketAddr;

use masticarch_model::{change, code, configuration, finding, member, name, version};
use serde::{Deserialize, Serialize};

use super::status;

/// Sent by the operators' tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Commits a change.
    Apply(change::Change),
    /// Checks a change against the present configuration without committing it.
    Check(change::Change),
    /// Reads the present configuration.
    Get,
    /// Lists the latest changes, up to this number.
    History(u32),
    /// Describes the fleet.
    Status,
    /// Asks a node to drain: its targets take nothing new.
    Drain(name::Name),
    /// Adds a member to the control group as a learner.
    AddMember(member::Member),
    /// Makes a learner a voter.
    PromoteMember(member::Id),
    /// Removes a member from the control group.
    RemoveMember(member::Id),
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Configuration version that the change made.
    pub version: version::Version,
    /// Id of the change.
    pub id: u128,
    /// Name of the operator credential.
    pub operator: name::Name,
    /// One line for each edit.
    pub summary: Vec<Box<str>>,
}

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is committed, or would be accepted; the version it makes.
    Accepted(version::Version),
    /// The configuration has this other version.
    Conflict(version::Version),
    /// The change would make the configuration faulty.
    Faulty(Vec<finding::Finding>),
    /// The present configuration and its version.
    Configuration(version::Version, Box<configuration::Configuration>),
    /// The latest changes, the newest first.
    History(Vec<Entry>),
    /// State of the fleet.
    Status(Box<status::Status>),
    /// Done.
    Done,
    /// Refused, or not known to be done: [`code::Code::TimeoutOutcomeUnknown`].
    Refused(code::Code, Box<str>),
    /// This process does not lead.
    NotLeader(Option<SocketAddr>),
}
