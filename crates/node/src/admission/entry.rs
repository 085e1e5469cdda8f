//! Properties of a request that admission decides on.

use std::time::{Duration, Instant};

use masticarch_model::name;

/// Properties of a request that admission at the target's node decides on. They travel
/// as headers when the request enters the fleet at another node.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Service of the target.
    pub service: name::Name,
    /// Route of the request, by which its service time is estimated.
    pub route: name::Name,
    /// Id of the root request.
    pub root: Box<str>,
    /// Team of the root request; absent on routes open to all.
    pub team: Option<name::Name>,
    /// Weight of the team in the queue, within its priority.
    pub weight: u16,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Deadline of the attempt.
    pub deadline: Instant,
    /// Retry credit lent to the attempt.
    pub credit: u8,
    /// Whether every execution in the call tree of the attempt costs one credit.
    pub repeat: bool,
    /// Service beside the node where the request entered the fleet.
    pub caller: Option<name::Name>,
    /// Rate limit that the target was last known to state, in requests per second.
    pub rate_limit: Option<f64>,
    /// Run of the target that has stated that it is leaving, as far as is known.
    pub leaving: Option<Box<str>>,
    /// Whether to send the request although the target fails, because no other is known.
    pub insists: bool,
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
