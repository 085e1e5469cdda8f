//! Choice of the seeds of a soak.

/// The seeds that `MASTICARCH_SOAK_SEEDS` chooses, as `FIRST..LAST`, or the given ones.
///
/// # Panics
/// When the choice is malformed.
#[must_use]
pub fn chosen(default: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("MASTICARCH_SOAK_SEEDS") else {
        return default.into();
    };
    let (first, last) = text
        .split_once("..")
        .expect("seeds are given as FIRST..LAST");
    (first.parse().unwrap()..last.parse().unwrap()).collect()
}
