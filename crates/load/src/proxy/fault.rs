//! Faults of a proxy.

use serde::{Deserialize, Serialize};

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the side that opened the connection.
    Forward,
    /// Back to it.
    Backward,
}

/// The fault in force for connections that are not blackholed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// Bytes per second in each direction.
    pub bandwidth: Option<u64>,
    /// Whether new connections are reset as soon as they are accepted.
    pub refuse: bool,
    /// Whether bytes are held in both directions without closing.
    pub stall: bool,
    /// A direction in which bytes are held.
    pub silent: Option<Direction>,
}

impl Fault {
    /// Whether bytes in this direction are held.
    #[must_use]
    pub fn holds(self, direction: Direction) -> bool {
        self.stall || self.silent == Some(direction)
    }
}

/// What happens once to all existing connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// They go silent for good without closing; new ones work.
    Blackhole,
    /// They are reset.
    Reset,
    /// Their forward direction ends.
    HalfClose,
}
