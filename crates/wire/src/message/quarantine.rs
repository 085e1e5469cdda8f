//! Exchange of what nodes know of requests that have run at targets when they crashed.

use masticarch_model::{incarnation, name};
use serde::{Deserialize, Serialize};

/// Sent between nodes that have targets of the same service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Records, of which each replaces nothing: the receiver adds them to its own.
    pub records: Vec<Record>,
}

/// A request and the crashes under its runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the head of the request.
    pub head: u128,
    /// Digest of its body.
    pub body: u128,
    /// Service of the targets.
    pub service: name::Name,
    /// Crashes of targets that ran the request.
    pub crashes: Vec<Crash>,
}

/// A crash of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the node beside the target.
    pub node: incarnation::Incarnation,
    /// Number of the crash at that node.
    pub sequence: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// The run of the target that ended, or the name of its node.
    pub target: Box<str>,
    /// Id of the root request.
    pub request: Box<str>,
    /// Whether no other request that ran there is as likely to be the cause.
    pub conclusive: bool,
    /// Whether the request has completed since.
    pub cleared: bool,
}
