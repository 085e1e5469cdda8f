//! Answers to long polls.

use masticarch_model::{catalog, delta, version, view};

/// The answer to a long poll.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The version reached, and the deltas from the held version to it.
    Deltas(version::Version, Vec<delta::Delta>),
    /// The whole view, because deltas from the held version are no longer kept.
    Snapshot(Box<view::View>),
}

impl Answer {
    /// The answer to a poll that holds a version.
    #[must_use]
    pub fn new(catalog: &catalog::Catalog, held: version::Version) -> Self {
        match catalog.deltas_since(held) {
            // A node's version never decreases, even if this member lags behind.
            Some(deltas) => Self::Deltas(catalog.version().max(held), deltas),
            None => Self::Snapshot(Box::new(catalog.view().clone())),
        }
    }
}
