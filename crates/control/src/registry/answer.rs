//! What a long poll gets.

use masticarch_model::{catalog, delta, version, view};

/// What a long poll gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Deltas after the held version and the version that they reach.
    Deltas(version::Version, Vec<delta::Delta>),
    /// The whole view, when the deltas are no longer kept.
    Snapshot(Box<view::View>),
}

impl Answer {
    /// The answer to a poll that holds a version.
    #[must_use]
    pub fn new(catalog: &catalog::Catalog, held: version::Version) -> Self {
        match catalog.deltas_since(held) {
            // A version never goes back, even if this member lags.
            Some(deltas) => Self::Deltas(catalog.version().max(held), deltas),
            None => Self::Snapshot(Box::new(catalog.view().clone())),
        }
    }
}
