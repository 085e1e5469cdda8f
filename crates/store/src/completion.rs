//! Reports of the store.

use crate::error;

/// What the writer reports about requests.
#[derive(Debug)]
pub enum Completion {
    /// All requests up to this sequence number are durable.
    Persisted(u64),
    /// A write failed. Nothing after the last [`Completion::Persisted`] is
    /// acknowledged, and no later request will be.
    Failed(error::Error),
}
