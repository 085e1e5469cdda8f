//! Reports of the writer.

use crate::error;

/// What the writer reports about requests.
#[derive(Debug)]
pub enum Completion {
    /// All requests up to this sequence number are durable.
    Persisted(u64),
    /// A write failed. No request after the last [`Completion::Persisted`] is or
    /// will be acknowledged.
    Failed(error::Error),
}
