//! Conversions between counts and real numbers.

/// The whole part of a count, between 0 and `u32::MAX`.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the result first"
)]
pub fn floor(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}
