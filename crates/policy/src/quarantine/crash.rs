//! Identity of a crash.

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
