//! Identity of one attempt at a request.

use serde::{Deserialize, Serialize};

use crate::incarnation;

/// One attempt, named by the entry node's incarnation and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The run of the entry node.
    pub node: incarnation::Incarnation,
    /// Number of the attempt within that run.
    pub sequence: u64,
}
