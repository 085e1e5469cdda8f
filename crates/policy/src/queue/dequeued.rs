//! A request removed from the queue.

use std::time::Duration;

/// A request removed from the queue, to run or because it expired.
#[derive(Debug, PartialEq, Eq)]
pub struct Dequeued<T> {
    /// Item that was pushed for the request.
    pub item: T,
    /// Rank of its priority: 0 is the highest.
    pub rank: u8,
    /// Time in the queue.
    pub waited: Duration,
}
