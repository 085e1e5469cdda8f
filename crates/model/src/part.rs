//! Parts of a route's traffic.

use serde::{Deserialize, Serialize};

use crate::name;

/// A part of a route's traffic that goes to a service of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Service whose targets serve the part.
    pub service: name::Name,
    /// Share of the traffic, relative to the weights of the other parts.
    pub weight: u32,
}
