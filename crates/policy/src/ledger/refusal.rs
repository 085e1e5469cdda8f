//! Why an attempt may not run.

/// Why an attempt may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An earlier attempt with this id still runs.
    StillRunning,
    /// The table has reached its maximum number of ids.
    Full,
}
