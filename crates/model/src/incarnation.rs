//! Identity of one run of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A random number drawn when a process starts, so that a restarted process at
/// an old address is not taken for its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
