//! Events that the log sends to the replicated state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use masticarch_kernel::reply;

/// The encoded state of the state machine at a log index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the state contains.
    pub index: u64,
    /// Encoding chosen by the state machine; empty for the initial state.
    pub bytes: Arc<[u8]>,
}

/// Whether a member leads the group, and whether it is the first to do so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// It does not lead.
    None,
    /// It is the first leader that the group ever had, so no earlier leader can
    /// have granted leases.
    First,
    /// It leads, and others may have led before.
    Later,
}

impl Leadership {
    /// Whether the member leads.
    #[must_use]
    pub const fn leads(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// An event of the log. The state machine's message type is made from it.
#[derive(Debug)]
pub enum Event {
    /// The entry at this index is committed; an entry without bytes holds no
    /// command. Sent in log order, without gaps.
    Committed(u64, Arc<[u8]>),
    /// An entry with the group's members, given by their addresses, is committed
    /// at this index. Part of the same sequence as [`Self::Committed`].
    Members(u64, Vec<SocketAddr>),
    /// Replaces the state by a snapshot from the leader or from the disk.
    Install(Snapshot),
    /// Requests a snapshot; the reply is `None` when the state cannot be encoded.
    TakeSnapshot(reply::Reply<Option<Snapshot>>),
    /// Whether this member leads. Sent once for each term that it leads, and when
    /// it stops leading.
    Role(Leadership),
    /// Sent once in a term, before the first committed entry of the leader's own
    /// term: every entry of earlier leaders has been sent, and all later ones were
    /// proposed by this member as the leader.
    CaughtUp,
}
