//! The replicated log in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{bound, entry, index, membership, payload, position, recovered, slot, snapshot, term};

/// A membership and the index from which it is in effect.
#[derive(Debug)]
struct MembershipEntry {
    index: index::Index,
    membership: membership::Membership,
}

/// The replicated log of one member: the newest snapshot, the entries in memory,
/// and how much of both is durable.
#[derive(Debug)]
pub struct Log {
    /// Position before the first entry in memory.
    base: position::Position,
    slots: VecDeque<slot::Slot>,
    /// [`slot::Slot::end`] of the entry at `base`.
    base_end: u64,
    /// In the order of their indices; never empty.
    memberships: Vec<MembershipEntry>,
    snapshot: snapshot::Snapshot,
    /// Index up to which the log is durable.
    durable: index::Index,
    /// Index of the first entry that no write contains yet.
    first_unwritten: index::Index,
    /// Lowest index removed since the last write.
    truncated_from: Option<index::Index>,
}

impl Log {
    /// The log that a member has recovered, all of it durable.
    pub fn new(recovered: recovered::Recovered) -> Self {
        let mut log = Self::from_snapshot(recovered.snapshot);
        for entry in recovered.entries {
            log.push(entry);
        }
        log.durable = log.last().index;
        log.first_unwritten = log.durable.next();
        log
    }

    fn from_snapshot(snapshot: snapshot::Snapshot) -> Self {
        let base = snapshot.meta.position;
        Self {
            base,
            slots: VecDeque::new(),
            base_end: 0,
            memberships: vec![MembershipEntry {
                index: base.index,
                membership: snapshot.meta.membership.clone(),
            }],
            snapshot,
            durable: base.index,
            first_unwritten: base.index.next(),
            truncated_from: None,
        }
    }

    /// Position of the last entry.
    pub fn last(&self) -> position::Position {
        let last = self.slots.back();
        last.map_or(self.base, |last| last.entry.position)
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &snapshot::Snapshot {
        &self.snapshot
    }

    /// Index up to which the log is durable.
    pub fn durable(&self) -> index::Index {
        self.durable
    }

    /// The newest membership in the log, committed or not.
    pub fn membership(&self) -> &membership::Membership {
        &self.memberships[self.memberships.len() - 1].membership
    }

    /// Index of the entry that brought the newest membership.
    pub fn membership_index(&self) -> index::Index {
        self.memberships[self.memberships.len() - 1].index
    }

    /// Term of the entry at an index, if the entry is in memory or directly precedes
    /// those that are.
    pub fn term_at(&self, index: index::Index) -> Option<term::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Whether the log has an entry at this position.
    pub fn contains(&self, position: position::Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// The entry at an index, if it is in memory.
    pub fn get(&self, index: index::Index) -> Option<&entry::Entry> {
        self.slot(index).map(|slot| &slot.entry)
    }

    /// Size in bytes of the entries after one index up to another, as far as they
    /// are in memory.
    pub fn bytes_between(&self, after: index::Index, to: index::Index) -> u64 {
        self.end_at(to).saturating_sub(self.end_at(after))
    }

    /// Entries from an index on, up to a size in bytes, but at least one if there
    /// is any.
    pub fn entries_from(&self, from: index::Index, bytes: usize) -> Vec<entry::Entry> {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut next = from;
        while let Some(entry) = self.get(next) {
            size += entry.payload.size();
            if size > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            next = next.next();
        }
        entries
    }

    /// The first index whose term is that of the entry at `index`, so that a
    /// whole conflicting term is skipped at once.
    pub fn first_of_term(&self, index: index::Index) -> index::Index {
        let term = self.term_at(index);
        let mut first = index;
        while first.previous() > self.base.index && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Appends an entry, which must follow the last one.
    pub fn push(&mut self, entry: entry::Entry) {
        debug_assert_eq!(entry.position.index, self.last().index.next());
        if let payload::Payload::Members(membership) = &entry.payload {
            self.memberships.push(MembershipEntry {
                index: entry.position.index,
                membership: membership.clone(),
            });
        }
        let end = self.end() + entry.payload.size() as u64;
        self.slots.push_back(slot::Slot { entry, end });
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: index::Index) {
        let kept = from.0.saturating_sub(self.base.index.0 + 1);
        self.slots.truncate(usize::try_from(kept).unwrap_or(0));
        self.memberships
            .retain(|entry| entry.index < from || entry.index <= self.base.index);
        self.durable = self.durable.min(from.previous());
        self.mark_removed(from);
    }

    /// Notes that the log is durable up to an index.
    pub fn mark_durable(&mut self, index: index::Index) {
        self.durable = self.durable.max(index).min(self.last().index);
    }

    /// Takes a snapshot of the caller's state at a committed index, and drops the
    /// entries that it covers, except the last ones within `retained`. Returns false
    /// when the index is not newer than the present snapshot.
    pub fn compact(
        &mut self,
        index: index::Index,
        data: Arc<[u8]>,
        retained: bound::Bound,
    ) -> bool {
        let Some(term) = self.term_at(index) else {
            return false;
        };
        if index <= self.snapshot.meta.position.index {
            return false;
        }
        let meta = snapshot::Meta {
            position: position::Position { term, index },
            membership: self.membership_at(index).clone(),
        };
        self.snapshot = snapshot::Snapshot { meta, data };
        self.drop_up_to(self.last_dropped(index, retained));
        true
    }

    /// Replaces the whole log by a received snapshot. Nothing is durable until
    /// [`Log::mark_durable`] says so.
    pub fn reset(&mut self, snapshot: snapshot::Snapshot) {
        *self = Self {
            durable: index::Index(0),
            truncated_from: self.truncated_from,
            ..Self::from_snapshot(snapshot)
        };
        self.mark_removed(self.base.index.next());
    }

    /// Takes the entries that no write contains yet.
    pub fn take_unwritten(&mut self) -> Vec<entry::Entry> {
        let entries = self.entries_from(self.first_unwritten, usize::MAX);
        self.first_unwritten = self.last().index.next();
        entries
    }

    /// Takes the lowest index removed since the last write.
    pub fn take_truncated(&mut self) -> Option<index::Index> {
        self.truncated_from.take()
    }

    /// Notes that entries from an index on were removed. Only those that a
    /// write already contains have to be removed from the disk.
    fn mark_removed(&mut self, from: index::Index) {
        if from < self.first_unwritten || from == self.base.index.next() {
            let lowest = self
                .truncated_from
                .map_or(from, |earlier| earlier.min(from));
            self.truncated_from = Some(lowest);
        }
        self.first_unwritten = self.first_unwritten.min(from);
    }

    fn slot(&self, index: index::Index) -> Option<&slot::Slot> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.slots.get(usize::try_from(offset).ok()?)
    }

    /// [`slot::Slot::end`] of the last entry.
    fn end(&self) -> u64 {
        self.slots.back().map_or(self.base_end, |last| last.end)
    }

    /// [`slot::Slot::end`] of the entry at an index, or of the nearest one in memory.
    fn end_at(&self, index: index::Index) -> u64 {
        if index <= self.base.index {
            return self.base_end;
        }
        self.slot(index).map_or(self.end(), |slot| slot.end)
    }

    /// The last index to drop if the entries after it up to a snapshot are to stay
    /// within a bound.
    fn last_dropped(&self, snapshot: index::Index, retained: bound::Bound) -> index::Index {
        let by_number = index::Index(snapshot.0.saturating_sub(retained.entries));
        let end = self.end_at(snapshot);
        let exceeds = |from: u64| from + retained.bytes < end;
        let mut by_size = self.base.index;
        if exceeds(self.base_end) {
            let dropped = self.slots.partition_point(|slot| exceeds(slot.end));
            by_size = index::Index(by_size.0 + dropped as u64 + 1);
        }
        by_number.max(by_size).min(snapshot)
    }

    fn membership_at(&self, at: index::Index) -> &membership::Membership {
        let mut earlier = self.memberships.iter().rev();
        let found = earlier.find(|entry| entry.index <= at);
        &found.unwrap_or(&self.memberships[0]).membership
    }

    fn drop_up_to(&mut self, index: index::Index) {
        let Some(term) = self.term_at(index).filter(|_| index > self.base.index) else {
            return;
        };
        let membership = self.membership_at(index).clone();
        let dropped = index.0 - self.base.index.0;
        self.base_end = self.end_at(index);
        self.slots.drain(..usize::try_from(dropped).unwrap_or(0));
        self.memberships.retain(|entry| entry.index > index);
        self.memberships
            .insert(0, MembershipEntry { index, membership });
        self.base = position::Position { term, index };
    }
}
