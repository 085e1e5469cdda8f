//! The part of a credit that is lent.

/// Half of a credit, rounded up, so that a single credit can reach a call deep
/// in the tree.
#[must_use]
pub const fn half_up(credit: u8) -> u8 {
    credit.div_ceil(2)
}
