//! Outlier detection: temporary ejection of targets that fail.

pub mod breaker;
pub mod detector;

/// Whether one more of `total` targets of a service may be ejected. At most half
/// of them may be, because a fault that affects more is unlikely to be caused by
/// the targets themselves.
#[must_use]
pub const fn may_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * 2 <= total
}
