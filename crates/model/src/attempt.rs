//! Identifiers of attempts to serve a request.

use serde::{Deserialize, Serialize};

use crate::incarnation;

/// Identifies one attempt to serve a request, unique in the fleet. The entry node,
/// which received the request from its caller, numbers its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Incarnation of the entry node.
    pub node: incarnation::Incarnation,
    /// Number of the attempt, unique within that incarnation.
    pub sequence: u64,
}
