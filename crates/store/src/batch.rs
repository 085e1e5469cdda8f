//! Changes of the log that are written together.

use serde::{Deserialize, Serialize};

use crate::entry;

/// A change of the log that is written as one record and synced once.
///
/// Because each sync covers one record, anything after a damaged record was
/// written after that record had been synced. This tells corruption from a torn
/// tail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Removes the entries from this index on.
    pub truncate: Option<u64>,
    /// Entries to append after the removal.
    pub entries: Vec<entry::Entry>,
}

impl Batch {
    /// Whether the batch changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.truncate.is_none() && self.entries.is_empty()
    }

    /// Merges a later batch into this one, with the same effect as both in order.
    pub fn merge(&mut self, later: Self) {
        if let Some(from) = later.truncate {
            self.entries.retain(|entry| entry.index < from);
            let lowest = self.truncate.map_or(from, |earlier| earlier.min(from));
            self.truncate = Some(lowest);
        }
        self.entries.extend(later.entries);
    }
}
