//! Settings of a client.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_wire::handshake;

/// Addresses of the control processes and credential of the operator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the operator ports of the control processes; at least one.
    pub control: Vec<SocketAddr>,
    /// The operator's credential.
    pub credential: handshake::Credential,
    /// Time after which a call makes no further attempt.
    pub timeout: Duration,
}
