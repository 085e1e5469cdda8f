//! The source of randomness, which the caller provides.

/// A source of randomness for election timeouts.
pub trait Random {
    /// A number from 0 up to, but not including, `limit`, which is above 0.
    fn below(&mut self, limit: u64) -> u64;
}
