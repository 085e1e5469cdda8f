//! How a client reaches the control group.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_wire::handshake;

/// Where the control processes are and who the operator is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Operator ports of the control processes; at least one.
    pub control: Vec<SocketAddr>,
    /// The operator's credential.
    pub credential: handshake::Credential,
    /// Longest time for one call, all tries together.
    pub timeout: Duration,
}
