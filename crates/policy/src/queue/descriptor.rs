//! What the queue needs to know of a request.

use std::time::Instant;

use masticarch_model::name;

/// What the queue needs to know of a request.
#[derive(Clone, Debug)]
pub struct Descriptor {
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Team; none on routes open to all.
    pub team: Option<name::Name>,
    /// Weight of the team within the rank.
    pub weight: u16,
    /// When the request's time is over.
    pub deadline: Instant,
}
