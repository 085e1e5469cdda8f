//! Why an attempt may not run.

/// Why an attempt may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An earlier attempt with this id still runs.
    StillRunning,
    /// There is no room for another id.
    Full,
}
