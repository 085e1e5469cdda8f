//! Distribution of fleet-wide rate limits.
//!
//! On the control leader:
//! - `owner` answers the reports of all nodes on all teams with grants;
//! - `quota` keeps the limit of one team: the shares that nodes may be using, and the
//!   free tokens;
//! - `allocation` computes how one team's limit is divided by demand.
//!
//! On each node:
//! - `holder` keeps the leased share of one team and the requests that wait for its
//!   tokens;
//! - `bucket` is the token bucket with which it enforces the share.
//!
//! `lease` has the messages between owner and holders.

mod allocation;
pub(crate) mod bucket;
pub mod decision;
mod demand;
pub mod holder;
pub mod lease;
pub mod owner;
mod quota;
pub mod report;

/// Share of a team's limit that one node holds; [`lease::Share`] in the messages to
/// and from the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate_per_second: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
}
