//! Deadlines of requests that a process takes while it shuts down.

use std::time::Instant;

/// Keeps requests that arrive during a shutdown from outlasting it. With the deadline
/// cut, a request that cannot end in time is refused before it runs, and no other one
/// loses its answer to the end of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shutdown {
    /// When the process ends; `None` while it does not shut down.
    ends: Option<Instant>,
}

impl Shutdown {
    /// Notes that the process ends at this moment.
    pub const fn begin(&mut self, ends: Instant) {
        self.ends = Some(ends);
    }

    /// The deadline of a request that arrives now and had this one.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.ends.map_or(deadline, |ends| deadline.min(ends))
    }
}
