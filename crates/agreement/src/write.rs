//! What a member must persist.

use crate::{entry, index, sequence, snapshot, vote};

/// State to persist. The parts take effect in the order of the fields, and
/// the caller reports [`Write::sequence`] once all of them are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Number of the write.
    pub sequence: sequence::Sequence,
    /// The new term and vote, if they have changed.
    pub vote: Option<vote::Vote>,
    /// Removes the entries from this index on.
    pub truncate: Option<index::Index>,
    /// Replaces the stored snapshot.
    pub snapshot: Option<snapshot::Snapshot>,
    /// Entries to append after the removal.
    pub entries: Vec<entry::Entry>,
}
