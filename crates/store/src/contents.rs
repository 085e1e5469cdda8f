//! What a data directory holds.

use crate::{entry, snapshot};

/// What a data directory holds when it is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contents {
    /// The identity written at creation.
    pub identity: Vec<u8>,
    /// The last vote.
    pub vote: Option<Vec<u8>>,
    /// The last snapshot.
    pub snapshot: snapshot::Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<entry::Entry>,
}
