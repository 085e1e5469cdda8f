//! Rate limits.

use serde::{Deserialize, Serialize};

use crate::name;

/// A rate limit: a token bucket for the requests of a team on all VMs together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name of the limit.
    pub name: name::Name,
    /// Tokens that the bucket gains, one per request, 0.1 to 1,000,000.
    pub rate_per_second: f64,
    /// Capacity of the bucket, the requests that may come at once, 1 to 1,000,000.
    pub burst: u32,
}
