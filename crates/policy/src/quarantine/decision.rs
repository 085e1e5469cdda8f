//! Decision on a request that is about to run.

use std::time::Duration;

/// Decision on a request that is about to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Run,
    /// It may run while no other such request runs at the same target, so that a crash is
    /// attributed to the right one.
    Isolate,
    /// It may not run for this time.
    Refuse(Duration),
}
