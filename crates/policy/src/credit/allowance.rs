//! Retry credit that a request, an attempt or a sub-call may spend.

/// Retry credit that a request, an attempt or a sub-call may spend. What is left at
/// its end comes back in an [`Outcome`](crate::credit::outcome::Outcome).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Extra executions that the call tree below may have.
    pub credit: u8,
    /// The repeat mark: every execution in the call tree below costs one credit.
    pub repeat: bool,
}
