//! Retry credit lent to an attempt or a sub-call.

/// Retry credit lent to an attempt or a sub-call. What is left of it comes back in
/// an [`Outcome`](crate::credit::outcome::Outcome).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Extra executions that the call tree below may have.
    pub credit: u8,
    /// The repeat mark: every execution in the call tree below costs one credit.
    pub repeat: bool,
}
