//! Credit that goes with an attempt or a sub-call.

/// Credit that goes with an attempt or a sub-call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Credit lent.
    pub credit: u8,
    /// Whether every execution below costs one credit.
    pub repeat: bool,
}
