//! State that a member recovers from its disk.

use crate::{entry, snapshot, vote};

/// The persistent state with which a member starts.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The term and vote.
    pub vote: vote::Vote,
    /// The last snapshot. A new group starts from
    /// [`snapshot::Snapshot::initial`], a joining learner from the default.
    pub snapshot: snapshot::Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<entry::Entry>,
}

impl Recovered {
    /// Size of the entries in bytes.
    #[must_use]
    pub fn entry_bytes(&self) -> usize {
        let sizes = self.entries.iter().map(|entry| entry.payload.size());
        sizes.sum()
    }
}
