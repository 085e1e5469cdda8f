//! Rate and burst of a team over the whole fleet.

use serde::{Deserialize, Serialize};

use crate::name;

/// A token bucket that counts over all VMs together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Name of the limit.
    pub name: name::Name,
    /// Requests per second, 0.1 to 1,000,000.
    pub rate_per_second: f64,
    /// Requests that may come at once, 1 to 1,000,000.
    pub burst: u32,
}
