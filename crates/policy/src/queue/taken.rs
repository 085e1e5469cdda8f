//! A request taken out of the queue.

use std::time::Duration;

/// A request taken out of the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Taken<T> {
    /// The request.
    pub item: T,
    /// Rank of its priority.
    pub rank: u8,
    /// Time that it waited.
    pub waited: Duration,
}
