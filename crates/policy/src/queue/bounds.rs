//! Current bounds of the admission queue.

use std::time::Duration;

/// Current bounds of the admission queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest time that a request may wait.
    pub max_wait: Duration,
    /// Expected time from the start of a request at the target to its end.
    pub service_time: Duration,
    /// Maximum number of waiting requests.
    pub max_entries: usize,
}
