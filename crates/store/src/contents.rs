//! Contents of a data directory.

use crate::{entry, snapshot};

/// Contents of a data directory when it is opened. `T` is what the entries are decoded
/// to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contents<T = entry::Entry> {
    /// The encoded id of the member, written at creation; opaque to the store.
    pub identity: Vec<u8>,
    /// The last vote; `None` before the first one.
    pub vote: Option<Vec<u8>>,
    /// The last snapshot.
    pub snapshot: snapshot::Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<T>,
}
