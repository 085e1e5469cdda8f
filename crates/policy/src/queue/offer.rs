//! Result of offering a request to the queue.

/// Result of offering a request to the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Offer<T> {
    /// The request waits.
    Queued,
    /// The request waits, and this one, of this rank, was removed in its favour.
    Displaced(T, u8),
    /// The queue is full, and all its requests go before this one.
    Full(T),
    /// The request could not end before its deadline.
    TooLate(T),
}
