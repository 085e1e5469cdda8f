//! Opens connections to other nodes.

use std::net::SocketAddr;

use masticarch_wire::http::connection;
use masticarch_wire::{error, handshake, socket};

use super::message;

/// Opens a connection to the peer port of a node and proves knowledge of the fleet's
/// secret.
///
/// # Errors
/// Those of [`socket::connect`] and [`handshake::connect`]; no byte of a
/// request has been sent then.
pub async fn open(
    address: SocketAddr,
    credential: &handshake::Credential,
) -> Result<message::Connection, error::Error> {
    let mut stream = socket::connect(address).await?;
    handshake::connect(&mut stream, handshake::Role::Peer, credential).await?;
    Ok(connection::Connection::new(stream))
}
