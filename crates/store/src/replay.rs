//! Replay of the log when a store is opened.

use std::collections::VecDeque;

use crate::{batch, entry};

/// An entry of the log after its decoding.
#[derive(Debug)]
struct Slot<T> {
    index: u64,
    /// `None` when the snapshot covers the entry.
    entry: Option<T>,
}

/// The entries that result from the batches read so far. `D` decodes each of them at
/// once, so that a large log is in memory in one form only.
#[derive(Debug)]
pub struct Replay<T, D> {
    /// Index that the snapshot covers.
    snapshot_index: u64,
    decode: D,
    slots: VecDeque<Slot<T>>,
}

impl<T, D: Fn(entry::Entry) -> Option<T>> Replay<T, D> {
    /// A replay without entries, for a snapshot that covers this index.
    pub const fn new(snapshot_index: u64, decode: D) -> Self {
        Self {
            snapshot_index,
            decode,
            slots: VecDeque::new(),
        }
    }

    /// Applies a batch, or returns the reason why it cannot follow the ones before.
    pub fn apply(&mut self, batch: batch::Batch) -> Result<(), &'static str> {
        if let Some(from) = batch.truncate {
            let kept = self.slots.partition_point(|slot| slot.index < from);
            self.slots.truncate(kept);
        }
        batch
            .entries
            .into_iter()
            .try_for_each(|entry| self.push(entry))
    }

    /// The entries after the snapshot; `None` if the first ones are missing.
    pub fn finish(self) -> Option<Vec<T>> {
        let snapshot_index = self.snapshot_index;
        let covered = |slot: &Slot<T>| slot.index <= snapshot_index;
        let first = self.slots.iter().find(|slot| !covered(slot));
        let contiguous = first.is_none_or(|first| first.index == snapshot_index + 1);
        let entries = self.slots.into_iter().filter_map(|slot| slot.entry);
        contiguous.then(|| entries.collect())
    }

    /// Appends an entry. Entries may be missing only where the snapshot covers
    /// them; of those that it covers, only the index is kept.
    fn push(&mut self, entry: entry::Entry) -> Result<(), &'static str> {
        let index = entry.index;
        let last = self.slots.back().map(|last| last.index);
        let follows = last.is_some_and(|last| index == last + 1);
        if !follows {
            let after_last = last.is_none_or(|last| last < index);
            if !after_last || index > self.snapshot_index + 1 {
                return Err("an entry is out of order");
            }
            self.slots.clear();
        }
        let entry = if index > self.snapshot_index {
            Some((self.decode)(entry).ok_or("an entry cannot be decoded")?)
        } else {
            None
        };
        self.slots.push_back(Slot { index, entry });
        Ok(())
    }
}
