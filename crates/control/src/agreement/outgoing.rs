//! Messages to other members.

use std::net::SocketAddr;

use masticarch_model::member;

/// A message to another member. It may be dropped; the agreement sends again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: member::Id,
    /// Address of its member port.
    pub address: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
