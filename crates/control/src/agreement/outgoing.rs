//! Messages to other control processes.

use std::net::SocketAddr;

use masticarch_model::member;

/// A message to another control process. It may be dropped, because Raft sends lost
/// messages again and join requests are repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Id of the receiving member. Each id has a connection and a queue of its own.
    pub to: member::Id,
    /// Address of the receiver's member port.
    pub address: SocketAddr,
    /// The encoded envelope.
    pub bytes: Vec<u8>,
}
