//! Conversions of floating-point numbers that never round up.

/// Rounds down to an integer between 0 and `u32::MAX`.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the result first"
)]
pub fn floor_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The largest `f32` that is not greater than `value`.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    reason = "a value that was rounded up is corrected below"
)]
pub fn floor_f32(value: f64) -> f32 {
    let nearest = value as f32;
    if f64::from(nearest) > value {
        nearest.next_down()
    } else {
        nearest
    }
}
