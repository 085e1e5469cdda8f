//! Retry credit that is left at the end of a call tree, and its executions.

/// Credit left and executions of a call tree that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Credit that was not spent.
    pub credit: u8,
    /// Executions in the tree; `None` when not all of them are known.
    pub executions: Option<u32>,
}

/// The sum of two counts; `None` when one of them is unknown.
#[must_use]
pub fn sum(left: Option<u32>, right: Option<u32>) -> Option<u32> {
    Some(left?.saturating_add(right?))
}
