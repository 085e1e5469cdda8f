//! Traffic splitting by weight.

use fastrand::Rng;
use masticarch_policy::route::split;

/// Number of requests, of `count`, that each part gets.
fn divide(weights: &[u32], count: usize) -> Vec<usize> {
    let mut rng = Rng::with_seed(7);
    let mut split = split::Split::default();
    let mut parts = vec![0; weights.len()];
    for _ in 0..count {
        let part = split.choose(weights.iter().copied(), || rng.f64());
        parts[part.unwrap()] += 1;
    }
    parts
}

// Guards against parts that get more or less than their share, also over a few
// requests.
#[test]
fn parts_get_their_weights() {
    let long = divide(&[90, 10], 1_000);
    let short = divide(&[1, 1, 2], 8);

    assert!((899..=901).contains(&long[0]), "{long:?}");
    assert!((3..=5).contains(&short[2]), "{short:?}");
}

// Guards against requests to a part with weight 0.
#[test]
fn part_without_weight_gets_nothing() {
    let parts = divide(&[5, 0], 100);

    assert_eq!(parts, [100, 0]);
}

// Guards against a route that serves no requests because all its weights are 0.
#[test]
fn parts_are_equal_without_weights() {
    let parts = divide(&[0, 0], 100);

    assert!((49..=51).contains(&parts[0]), "{parts:?}");
}
