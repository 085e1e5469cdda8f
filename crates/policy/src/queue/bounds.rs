//! What the queue may hold at present.

use std::time::Duration;

/// What the queue may hold at present.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time in the queue.
    pub max_wait: Duration,
    /// Time that the target is expected to need for a request.
    pub service_time: Duration,
    /// Most entries.
    pub max_entries: usize,
}
