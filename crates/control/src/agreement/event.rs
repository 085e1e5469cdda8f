//! What the log tells the owner of the replicated state.

use std::net::SocketAddr;

use masticarch_kernel::reply;

/// A state and the log index up to which it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Log index.
    pub index: u64,
    /// Encoding of the state.
    pub bytes: Vec<u8>,
}

/// Whether a member leads the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// It does not lead.
    None,
    /// It is the first leader that the group ever had, so that nothing was
    /// leased before.
    First,
    /// It leads after others.
    Later,
}

impl Leadership {
    /// Whether the member leads.
    #[must_use]
    pub const fn leads(self) -> bool {
        !matches!(self, Self::None)
    }
}

/// Sent to the owner of the replicated state, whose messages are made from it.
#[derive(Debug)]
pub enum Event {
    /// The entry at this index is committed; an empty one holds no command.
    /// Sent in the order of the log, without gaps.
    Committed(u64, Vec<u8>),
    /// The members of the group at this index, by their addresses. Counts in the
    /// order of [`Self::Committed`].
    Members(u64, Vec<SocketAddr>),
    /// Replaces the state.
    Install(Snapshot),
    /// Asks for the state; `None` when it cannot be encoded.
    TakeSnapshot(reply::Reply<Option<Snapshot>>),
    /// Whether this member leads; sent once for each term that it leads.
    Role(Leadership),
    /// What is committed from here on was proposed by this member while it leads:
    /// every entry of earlier leaders was sent before.
    CaughtUp,
}
