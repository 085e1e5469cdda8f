//! The history of a run, checked against the safety properties of Raft.

use std::collections::BTreeMap;

use masticarch_agreement::{entry, index, membership, payload, recovered, snapshot, term};
use masticarch_model::member;

/// All committed entries and elected leaders of a run.
#[derive(Default)]
pub struct History {
    committed: BTreeMap<index::Index, entry::Entry>,
    leaders: BTreeMap<term::Term, member::Id>,
}

impl History {
    pub fn last_index(&self) -> u64 {
        self.committed.keys().last().map_or(0, |index| index.0)
    }

    pub fn latest_term(&self) -> u64 {
        self.leaders.keys().last().map_or(0, |term| term.0)
    }

    /// The newest membership that is committed; empty before the first change.
    pub fn membership(&self) -> membership::Membership {
        let mut entries = self.committed.values().rev();
        let newest = entries.find_map(|entry| match &entry.payload {
            payload::Payload::Members(membership) => Some(membership.clone()),
            _ => None,
        });
        newest.unwrap_or_default()
    }

    /// Election safety: a term has one leader.
    pub fn elected(&mut self, term: term::Term, id: member::Id) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in {term:?}");
    }

    /// State machine safety: an index is committed with one entry.
    pub fn commit(&mut self, entry: &entry::Entry) {
        let index = entry.position.index;
        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "two committed entries at {index:?}");
    }

    /// Leader completeness: a new leader has every committed entry.
    pub fn check_complete(&self, written: &recovered::Recovered) {
        let covered = written.snapshot.meta.position.index;
        for (index, entry) in self.committed.range(covered.next()..) {
            let offset = usize::try_from(index.0 - covered.0 - 1).unwrap();
            let held = written.entries.get(offset);
            assert_eq!(held, Some(entry), "a leader lacks {index:?}");
        }
    }

    /// A snapshot holds exactly the commands committed up to its index.
    pub fn check_installed(&self, snapshot: &snapshot::Snapshot) {
        let covered = snapshot.meta.position.index;
        let entries = self.committed.range(..=covered);
        let commands = entries.filter_map(|(_, entry)| command(entry));
        let state: Vec<u8> = commands.flatten().copied().collect();
        assert_eq!(&snapshot.data[..], state, "snapshot at {covered:?}");
    }
}

/// The command that an entry carries.
pub fn command(entry: &entry::Entry) -> Option<&[u8]> {
    match &entry.payload {
        payload::Payload::Command(bytes) => Some(bytes),
        _ => None,
    }
}
