//! Distribution of fleet-wide rate limits.
//!
//! The owner, on the control leader, leases shares of each team's rate and burst to
//! the nodes by their demand. A node enforces its share with a token bucket.

mod allocation;
mod bucket;
pub mod decision;
mod demand;
pub mod holder;
pub mod lease;
pub mod owner;
mod quota;
pub mod report;

/// Share of a team's limit that one node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate_per_second: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
}
