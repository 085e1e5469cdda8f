//! Outcome of pushing a request into the queue.

/// Outcome of pushing a request into the queue. A request that does not wait comes
/// back in it.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The request waits.
    Queued,
    /// The request waits in place of another one, which was removed; with the item and
    /// the rank of the removed one.
    Displaced(T, u8),
    /// The request does not wait: the queue is full, and all its requests go first.
    Full(T),
    /// The request does not wait, because it could not end before its deadline.
    TooLate(T),
}
