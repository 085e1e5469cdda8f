//! Distance between a node and a target.

use std::time::Duration;

use masticarch_model::place;

/// Distance between a node and a target, by failure domain and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// The same failure domain.
    Domain,
    /// Another failure domain of the same region.
    Region,
    /// Another region.
    Remote,
}

impl Locality {
    /// The locality of `other` as seen from `own`.
    #[must_use]
    pub fn between(own: &place::Place, other: &place::Place) -> Self {
        if own.region != other.region {
            Self::Remote
        } else if own.domain != other.domain {
            Self::Region
        } else {
            Self::Domain
        }
    }

    /// Typical one-way network latency.
    #[must_use]
    pub const fn latency(self) -> Duration {
        match self {
            Self::Domain => Duration::ZERO,
            Self::Region => Duration::from_micros(1400),
            Self::Remote => Duration::from_millis(12),
        }
    }
}
