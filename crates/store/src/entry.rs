//! Entries of the log.

use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, counted from 1.
    pub index: u64,
    /// Content, opaque to the store.
    pub payload: Vec<u8>,
}
