//! What a member remembers after a restart.

use crate::{entry, snapshot, vote};

/// What a member has persisted before it starts.
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
