//! Ejection of targets that fail more than others.

pub mod detector;

/// Whether one more target may be ejected: never more than half of a service,
/// since a fault that hits all of them is not the targets' own.
#[must_use]
pub const fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * 2 <= total
}
