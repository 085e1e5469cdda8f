//! Indices of log entries.

use serde::{Deserialize, Serialize};

/// Index of an entry in the log, counted from 1. Index 0 denotes the state
/// before the first entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The index after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one, or 0.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}
