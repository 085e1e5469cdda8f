//! Replay of the log when a store is opened.

use std::collections::VecDeque;

use crate::{batch, entry};

/// The entries that result from the batches read so far.
#[derive(Debug)]
pub struct Replay {
    /// Index that the snapshot covers.
    snapshot_index: u64,
    entries: VecDeque<entry::Entry>,
}

impl Replay {
    /// A replay without entries, for a snapshot that covers this index.
    pub fn new(snapshot_index: u64) -> Self {
        Self {
            snapshot_index,
            entries: VecDeque::new(),
        }
    }

    /// Applies a batch, or returns the reason why it cannot follow the ones before.
    pub fn apply(&mut self, batch: batch::Batch) -> Result<(), &'static str> {
        if let Some(from) = batch.truncate {
            let kept = self.entries.partition_point(|entry| entry.index < from);
            self.entries.truncate(kept);
        }
        batch
            .entries
            .into_iter()
            .try_for_each(|entry| self.push(entry))
    }

    /// The entries after the snapshot; `None` if the first ones are missing.
    pub fn finish(mut self) -> Option<Vec<entry::Entry>> {
        let snapshot_index = self.snapshot_index;
        let first = self
            .entries
            .partition_point(|entry| entry.index <= snapshot_index);
        self.entries.drain(..first);
        let contiguous = self
            .entries
            .front()
            .is_none_or(|first| first.index == snapshot_index + 1);
        contiguous.then(|| self.entries.into())
    }

    /// Appends an entry. Entries may be missing only where the snapshot covers
    /// them; of those that it covers, only the index is kept.
    fn push(&mut self, mut entry: entry::Entry) -> Result<(), &'static str> {
        let last = self.entries.back().map(|last| last.index);
        let follows = last.is_some_and(|last| entry.index == last + 1);
        if !follows {
            let after_last = last.is_none_or(|last| last < entry.index);
            if !after_last || entry.index > self.snapshot_index + 1 {
                return Err("an entry is out of order");
            }
            self.entries.clear();
        }
        if entry.index <= self.snapshot_index {
            entry.payload = Vec::new();
        }
        self.entries.push_back(entry);
        Ok(())
    }
}
