//! What became of a request that was offered to the queue.

/// What became of a request that was offered to the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Offer<T> {
    /// It waits.
    Queued,
    /// It waits in the place of this one, with its rank.
    Displaced(T, u8),
    /// The queue is full of requests that go first.
    Full(T),
    /// It could not end before its deadline.
    TooLate(T),
}
