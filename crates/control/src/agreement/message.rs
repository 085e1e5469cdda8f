//! Messages to the service of the replicated log.

use masticarch_kernel::reply;
use masticarch_model::{code, member};

use super::status;

/// The heartbeat round to a quorum that confirms leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// A round that starts at once for this request.
    Immediate,
    /// The next regular heartbeat, which costs no additional messages.
    Heartbeat,
}

/// A message to the service [`crate::name::AGREEMENT`].
#[derive(Debug)]
pub enum Message {
    /// Appends a command. Resolves with its index after the commit; the entry has
    /// been sent to the state machine by then.
    Propose(Vec<u8>, reply::Reply<Result<u64, code::Code>>),
    /// Confirms leadership by a quorum round that starts after the request.
    /// When it resolves with success, every entry that was committed when the
    /// request arrived has been sent to the state machine.
    Confirm(Round, reply::Reply<Result<(), code::Code>>),
    /// Returns the state of the log at this member.
    Status(reply::Reply<status::Status>),
    /// Adds a learner to the group.
    AddLearner(member::Member, reply::Reply<Result<(), code::Code>>),
    /// Makes a learner a voter.
    Promote(member::Id, reply::Reply<Result<(), code::Code>>),
    /// Removes a member.
    Remove(member::Id, reply::Reply<Result<(), code::Code>>),
    /// An encoded envelope from another control process. It names its sender; the
    /// handshake of the connection proves only that the sender holds the fleet's
    /// secret.
    Deliver(Vec<u8>),
}
