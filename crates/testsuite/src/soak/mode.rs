//! Kinds of runs.

/// Which faults a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Planned stops and statements of targets only.
    Planned,
    /// Also kills and freezes, of control processes too.
    Any,
    /// Also crashes of targets.
    Crashes,
}
