//! Messages to other control processes.

use std::net::SocketAddr;

use masticarch_model::member;

/// A message to another control process. It may be dropped, because the agreement
/// resends what is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: member::Id,
    /// Address of its member port.
    pub address: SocketAddr,
    /// The encoded envelope.
    pub bytes: Vec<u8>,
}
