//! What is known of a call tree at its end.

/// What is known of a call tree at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Credit left.
    pub credit: u8,
    /// Executions in the tree; `None` when a part is unknown.
    pub executions: Option<u32>,
}

/// The sum of two counts, unknown when one of them is.
#[must_use]
pub fn sum(left: Option<u32>, right: Option<u32>) -> Option<u32> {
    Some(left?.saturating_add(right?))
}
