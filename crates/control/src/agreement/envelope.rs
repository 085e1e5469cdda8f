//! Encoding of the messages between control processes.

use std::net::SocketAddr;

use masticarch_agreement::message;
use masticarch_model::member;
use serde::{Deserialize, Serialize};

/// A message from one control process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Envelope {
    /// A Raft message and the address of its sender's member port. A learner without
    /// state knows no members yet and could not answer without the address.
    Raft(SocketAddr, message::Message),
    /// A request of a process to become a member of the group, and how it was
    /// delivered.
    Join(member::Member, Delivery),
}

/// How a join request reached its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// From the requesting process itself.
    Direct,
    /// Through a follower. The receiver does not forward it again, so that requests
    /// cannot loop between members during an election.
    Forwarded,
}
