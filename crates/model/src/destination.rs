//! Services among which a route's traffic is split.

use serde::{Deserialize, Serialize};

use crate::name;

/// A service that receives a share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Name of the service.
    pub service: name::Name,
    /// Share of the traffic, relative to the weights of the route's other services.
    pub weight: u32,
}
