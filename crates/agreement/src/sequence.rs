//! Numbers of writes.

/// Number of a write, counted from 1. Writes become durable in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sequence(pub u64);

impl Sequence {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
