//! A crash of a target, as evidence against a request that ran there.

use std::time::Instant;

use masticarch_model::incarnation;
use serde::{Deserialize, Serialize};

/// Identifies a crash of a target in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Incarnation of the node beside the target.
    pub node: incarnation::Incarnation,
    /// Number of the crash at that node.
    pub sequence: u64,
}

/// A crash of a target, as evidence against a request that ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the crash.
    pub id: Id,
    /// When it was noticed.
    pub at: Instant,
    /// The run of the target that ended, or the name of its node.
    pub target: Box<str>,
    /// Id of the root request.
    pub request: Box<str>,
    /// Whether no other request that ran there is as likely to be the cause.
    pub conclusive: bool,
    /// Whether the request has completed since, so that it was not the cause.
    pub cleared: bool,
}
