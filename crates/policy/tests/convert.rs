//! Conversions of floating-point numbers.

use masticarch_policy::convert;
use proptest::prelude::*;

proptest! {
    // Guards against shares that add up to more than the limit after they were
    // encoded in single precision.
    #[test]
    fn single_precision_never_rounds_up(value in 0.0..1e9_f64) {
        let single = f64::from(convert::floor_f32(value));

        prop_assert!(single <= value);
        prop_assert!(single >= value * (1.0 - 1e-6));
    }
}
