//! capnp-rpc on authenticated TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::AsyncReadExt;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{error, handshake, link};

/// Largest message that is received, in words of 8 bytes. No memory is allocated for a
/// larger one.
const MAX_MESSAGE_WORDS: usize = 8 << 20;
/// Longest time for opening a TCP connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn network(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> Result<twoparty::VatNetwork<impl futures::AsyncRead + Unpin + 'static>, error::Error> {
    let (reader, writer) = stream.into_poll_io()?.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    Ok(twoparty::VatNetwork::new(reader, writer, side, options))
}

/// Opens a connection, does the handshake, and returns the bootstrap capability of
/// the server. A spawned task drives the connection until the server closes it, also
/// after the capability has been dropped.
///
/// # Errors
/// [`error::Error::Io`], [`error::Error::Handshake`] or
/// [`error::Error::Timeout`].
pub async fn connect<C: capnp::capability::FromClientHook>(
    address: SocketAddr,
    role: handshake::Role,
    credential: &handshake::Credential,
) -> Result<C, error::Error> {
    let mut system = start(address, role, credential).await?;
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    run(system);
    Ok(client)
}

/// Opens a connection as [`connect`] does, and returns a [`link::Link`] instead of the
/// bare capability. Dropping the link closes the connection.
///
/// # Errors
/// Those of [`connect`].
pub async fn open_link<C: capnp::capability::FromClientHook>(
    address: SocketAddr,
    role: handshake::Role,
    credential: &handshake::Credential,
) -> Result<link::Link<C>, error::Error> {
    let mut system = start(address, role, credential).await?;
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let disconnector = system.get_disconnector();
    run(system);
    Ok(link::Link::new(client, disconnector))
}

async fn start(
    address: SocketAddr,
    role: handshake::Role,
    credential: &handshake::Credential,
) -> Result<RpcSystem<rpc_twoparty_capnp::Side>, error::Error> {
    let mut stream = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| error::Error::Timeout)??;
    stream.set_nodelay(true)?;
    handshake::connect(&mut stream, role, credential).await?;
    let network = network(stream, rpc_twoparty_capnp::Side::Client)?;
    Ok(RpcSystem::new(Box::new(network), None))
}

fn run(system: RpcSystem<rpc_twoparty_capnp::Side>) {
    monoio::spawn(async move {
        let _ = system.await;
    });
}

/// Serves a bootstrap capability on an accepted connection until it closes. The
/// caller must have completed the handshake on it.
///
/// # Errors
/// [`error::Error::Rpc`] when the connection breaks.
pub async fn serve(
    stream: TcpStream,
    bootstrap: capnp::capability::Client,
) -> Result<(), error::Error> {
    stream.set_nodelay(true)?;
    let network = network(stream, rpc_twoparty_capnp::Side::Server)?;
    Ok(RpcSystem::new(Box::new(network), Some(bootstrap)).await?)
}
