//! Targets that nodes announce.

use serde::{Deserialize, Serialize};

use crate::name;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// One target as its node announces it to the fleet. It is reached through the
/// peer port of its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it serves.
    pub service: name::Name,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: State,
}
