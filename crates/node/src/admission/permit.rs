//! Permit to run a request at a target.

use std::net::SocketAddr;
use std::time::Instant;

use crate::admission::key;

/// Permit to run one request at a target; ended by
/// [`Message::Release`](crate::admission::message::Message::Release).
#[derive(Clone, Debug)]
pub struct Permit {
    /// Key of the running call that the permit starts.
    pub call: key::CallKey,
    /// Context handle, which the target receives as a header.
    pub context: Box<str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Deadline of the request, which the end of the node may have brought forward.
    pub deadline: Instant,
}
