//! Shares of a team's fleet-wide limit.

mod allocation;
mod bucket;
pub mod decision;
mod demand;
pub mod holder;
pub mod lease;
pub mod owner;
mod quota;
pub mod report;

/// Part of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate_per_second: f64,
    /// Capacity of the bucket, in requests.
    pub burst: f64,
}
