//! Decision on a request that is about to run.

use std::time::Duration;

/// Decision on a request that is about to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Pass,
    /// It may run while no other such request runs at the same target, so that a crash is
    /// put down to the right one.
    Isolate,
    /// It may not run for this time.
    Refuse(Duration),
}
