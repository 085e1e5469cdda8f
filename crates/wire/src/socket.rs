//! TCP connections between processes, with options that detect lost peers early.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};

use crate::error;

/// Longest time for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which sent bytes may stay unacknowledged before the connection
/// fails.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection with keepalive and a TCP user timeout, and without Nagle's
/// algorithm.
///
/// # Errors
/// [`error::Error::Io`] or [`error::Error::Timeout`].
pub async fn connect(address: SocketAddr) -> Result<TcpStream, error::Error> {
    let stream = TcpStream::from_std(start(address)?.into())?;
    monoio::time::timeout(CONNECT_TIMEOUT, stream.writable(false))
        .await
        .map_err(|_| error::Error::Timeout)??;
    // A socket whose connection failed becomes writable too, but has no peer.
    stream.peer_addr()?;
    Ok(stream)
}

/// Starts a non-blocking connect. The options are set here, before monoio gets the
/// socket, because its stream gives no safe access to the file descriptor.
fn start(address: SocketAddr) -> Result<Socket, std::io::Error> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => Err(error),
        _ => Ok(socket),
    }
}

/// Error number `EINPROGRESS` on Linux.
const IN_PROGRESS: i32 = 115;
