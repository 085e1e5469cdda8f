//! Attributes of a request by which the queue orders it.

use std::time::{Duration, Instant};

use masticarch_model::name;

/// Attributes of a request by which the queue orders and bounds it.
#[derive(Clone, Debug)]
pub struct Descriptor {
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Team of the caller; `None` on routes without API keys.
    pub team: Option<name::Name>,
    /// Weight of the team among those of the same rank.
    pub weight: u16,
    /// Time by which the request must have ended.
    pub deadline: Instant,
    /// Expected time from the start of the request at the target to its end; zero if it is
    /// not known.
    pub service_time: Duration,
}
