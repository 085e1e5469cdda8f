//! Snapshots of the replicated state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{membership, position};

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Position of the last entry that the snapshot covers.
    pub position: position::Position,
    /// The members of the group at that position.
    pub membership: membership::Membership,
}

/// The replicated state after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// What the snapshot covers.
    pub meta: Meta,
    /// The state, opaque to this crate.
    pub data: Arc<[u8]>,
}

impl Snapshot {
    /// The state of a new group: no entry, and the first members.
    #[must_use]
    pub fn initial(membership: membership::Membership) -> Self {
        let meta = Meta {
            position: position::Position::default(),
            membership,
        };
        Self {
            meta,
            data: Arc::default(),
        }
    }
}
