//! Messages as they travel between control processes.

use std::net::SocketAddr;

use masticarch_agreement::message;
use masticarch_model::member;
use serde::{Deserialize, Serialize};

/// A message from one control process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Envelope {
    /// An agreement message with the address to answer to. A learner without
    /// any state knows no members yet, so it could not answer otherwise.
    Agreement(SocketAddr, message::Message),
    /// A process asks to take part in the group; whether it asks the receiver
    /// itself or another member has passed the request on.
    Enrolment(member::Member, Delivery),
}

/// How a request reached its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// From the process that asks.
    Direct,
    /// Through a member that follows another one. It is not passed on again, so
    /// that it cannot travel in circles during an election.
    Forwarded,
}
