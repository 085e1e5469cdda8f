//! Election terms.

use serde::{Deserialize, Serialize};

/// An election term. There is at most one leader in a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
