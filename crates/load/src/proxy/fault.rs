//! Faults that a proxy injects.

use serde::{Deserialize, Serialize};

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client, which opened the connection, to the upstream address.
    Forward,
    /// From the upstream address to the client.
    Backward,
}

/// The current fault, which applies to all connections that are not blackholed. The
/// default is no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Delay added in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth in bytes per second in each direction; unlimited when absent.
    pub bandwidth: Option<u64>,
    /// Whether new connections are reset as soon as they are accepted.
    pub refuse: bool,
    /// Whether bytes are held back in both directions while connections stay open.
    pub stall: bool,
    /// Direction in which bytes are held back while connections stay open.
    pub silent: Option<Direction>,
}

impl Fault {
    /// Whether bytes in this direction are held back.
    #[must_use]
    pub fn holds(self, direction: Direction) -> bool {
        self.stall || self.silent == Some(direction)
    }
}

/// A one-time fault of all existing connections; new connections are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Bytes are held back in both directions from then on; the connections stay open.
    Blackhole,
    /// Both sockets are closed with a TCP reset.
    Reset,
    /// The forward direction is shut down; the backward direction stays open.
    HalfClose,
}
