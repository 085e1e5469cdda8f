//! Messages between members.

use masticarch_model::member;
use serde::{Deserialize, Serialize};

use crate::{entry, index, position, snapshot, term};

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Id of the sending member, to which replies go.
    pub from: member::Id,
    /// Id of the receiving member. A member drops messages for another id, because a
    /// replaced member may have the address of its predecessor.
    pub to: member::Id,
    /// The sender's term.
    pub term: term::Term,
    /// The request or reply itself.
    pub body: Body,
}

/// A request or reply between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the sender could win an election in the next term.
    PreVote {
        /// End of the sender's log.
        last: position::Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Term of the election that the question was about.
        asked_term: term::Term,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// End of the sender's log.
        last: position::Position,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Extends the receiver's log.
    Append {
        /// Position of the entry before `entries`.
        previous: position::Position,
        /// Entries to append; empty when the leader only probes the receiver's log.
        entries: Vec<entry::Entry>,
        /// The leader's commit index.
        commit: index::Index,
    },
    /// The sender's log equals the leader's up to an index, durably.
    Appended {
        /// Index up to which the two logs are equal.
        matched: index::Index,
    },
    /// The sender's log has no entry at the `previous` of an [`Body::Append`].
    Rejected {
        /// Index of that `previous`.
        previous: index::Index,
        /// Index after which the leader should continue.
        last: index::Index,
    },
    /// Asserts leadership.
    Heartbeat {
        /// Number of the heartbeat round.
        round: u64,
        /// Commit index, bounded by what the receiver is known to hold.
        commit: index::Index,
    },
    /// The sender still followed the receiver when the round reached it.
    HeartbeatReply {
        /// Number of the heartbeat round.
        round: u64,
    },
    /// A part of a snapshot.
    Chunk {
        /// What the snapshot covers.
        meta: snapshot::Meta,
        /// Offset of this part in bytes.
        offset: u64,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Bytes of the snapshot from `offset` on.
        data: Vec<u8>,
    },
    /// Asks for the next part of a snapshot.
    ChunkReply {
        /// Index that the snapshot covers.
        index: index::Index,
        /// Bytes received without a gap.
        received: u64,
    },
    /// Answers a request of an earlier term; the message carries the later one.
    Outdated,
}
