//! The part of the credit that is lent to one attempt or sub-call.

/// Half of the credit, rounded up, so that a single credit can reach a call deep in
/// the tree.
#[must_use]
pub const fn half_up(credit: u8) -> u8 {
    credit.div_ceil(2)
}
