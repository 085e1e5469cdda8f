//! What services ask of the replicated log.

use masticarch_kernel::reply;
use masticarch_model::{code, member};

use super::status;

/// How soon leadership is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// By a round of its own.
    Immediate,
    /// By the next regular heartbeat, which costs no further message.
    Heartbeat,
}

/// Asked of the service named `agreement`.
#[derive(Debug)]
pub enum Message {
    /// Appends a command; resolves after commit, with its index. The owner of
    /// the state has been sent the entry by then.
    Propose(Vec<u8>, reply::Reply<Result<u64, code::Code>>),
    /// Confirms leadership by a quorum round that starts after the request.
    /// When it resolves with success, the owner of the state has been sent
    /// every entry that was committed when the request arrived.
    Confirm(Round, reply::Reply<Result<(), code::Code>>),
    /// Describes the log at this member.
    Status(reply::Reply<status::Status>),
    /// Adds a learner to the group.
    AddLearner(member::Member, reply::Reply<Result<(), code::Code>>),
    /// Makes a learner a voter.
    Promote(member::Id, reply::Reply<Result<(), code::Code>>),
    /// Removes a member.
    Remove(member::Id, reply::Reply<Result<(), code::Code>>),
    /// An agreement message from another member. The sender is named inside;
    /// the handshake of the connection proves the cluster secret only.
    Deliver(Vec<u8>),
}
