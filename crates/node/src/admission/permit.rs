//! Leave to run a request at a target.

use std::net::SocketAddr;

use crate::admission::key;

/// Leave to run a request; ended by `admission::message::Message::Leave`.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The running call.
    pub call: key::CallKey,
    /// Value of the context header for the target.
    pub context: Box<str>,
    /// Address of the target.
    pub address: SocketAddr,
}
