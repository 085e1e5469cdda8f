//! Identifiers of runs of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A random number chosen when a process starts. It tells a restarted process from
/// an earlier one with the same name and address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
