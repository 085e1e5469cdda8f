//! Versions of the replicated state.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A version of the replicated state: the log index of the last command applied to
/// it. It never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
