//! Current bounds of the admission queue.

use std::time::Duration;

/// Current bounds of the admission queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time that a request may wait.
    pub max_wait: Duration,
    /// Sum of the expected service times of the waiting requests from which on the queue is
    /// full.
    pub max_work: Duration,
    /// Number of requests that may wait whatever their service times are.
    pub min_entries: usize,
    /// Maximum number of waiting requests.
    pub max_entries: usize,
}

impl Bounds {
    /// Whether a queue with this many requests and this work takes no more.
    #[must_use]
    pub fn is_full(&self, entries: usize, work: Duration) -> bool {
        let has_work = entries >= self.min_entries && work >= self.max_work;
        entries >= self.max_entries || has_work
    }
}
