//! Entries of the replicated log.

use serde::{Deserialize, Serialize};

use crate::{payload, position};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: position::Position,
    /// What the entry carries.
    pub payload: payload::Payload,
}
