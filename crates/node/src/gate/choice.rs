//! The target chosen for one attempt.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_model::{directory, incarnation, name};

/// The target chosen for one attempt, and what is sent along with the request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Key of the target in the directory at the time of the choice.
    pub target: directory::TargetKey,
    /// Node beside the target.
    pub node: name::Name,
    /// Incarnation of that node.
    pub incarnation: incarnation::Incarnation,
    /// Peer port of that node; `None` when the target is beside this node.
    pub peer: Option<SocketAddr>,
    /// Retry credit lent to the attempt.
    pub credit: u8,
    /// Whether every execution in the call tree of the attempt costs one credit.
    pub repeat: bool,
    /// Longest time to wait for the answer of this attempt.
    pub timeout: Duration,
    /// Rate limit that the target was last known to state, in requests per second.
    pub rate_limit: Option<f64>,
    /// Run of the target that has stated that it is leaving, as far as is known.
    pub leaving: Option<Box<str>>,
    /// Whether the target is chosen although it fails, because no other one is known.
    pub insists: bool,
}
