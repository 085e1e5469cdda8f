//! Agreement messages as they travel between members.

use std::net::SocketAddr;

use masticarch_agreement::message;
use serde::{Deserialize, Serialize};

/// An agreement message with the address to answer to. A learner without any
/// state knows no members yet, so it could not answer otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Address of the sender's member port.
    pub address: SocketAddr,
    /// The message.
    pub message: message::Message,
}
