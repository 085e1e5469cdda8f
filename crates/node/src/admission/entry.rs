//! A request that asks to run at a target.

use std::time::{Duration, Instant};

use masticarch_model::name;

/// A request that asks to run at a target beside this node.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Service of the target.
    pub service: name::Name,
    /// Id of the root request.
    pub root: Box<str>,
    /// Team; none on routes open to all.
    pub team: Option<name::Name>,
    /// Weight of the team within its priority.
    pub weight: u16,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// When the request's time is over.
    pub deadline: Instant,
    /// Retry credit that came with the request.
    pub credit: u8,
    /// Whether the execution costs one credit.
    pub repeat: bool,
    /// Service beside the node where the request entered the fleet.
    pub caller: Option<name::Name>,
}

impl Entry {
    /// Time left until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time left until the deadline, in whole milliseconds.
    #[must_use]
    pub fn remaining_ms(&self) -> u64 {
        u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX)
    }
}
