//! Relays one connection in both directions.

use std::io;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use masticarch_kernel::{address, mailbox};
use monoio::io::Splitable;
use monoio::net::TcpStream;

use super::{acceptor, fault, transfer};

/// Commands that the mailbox of a transfer holds; further ones are dropped.
const COMMAND_CAPACITY: usize = 64;

/// Handle through which the proxy controls a relayed connection.
pub struct Handle {
    /// Commands to the transfer in the forward direction.
    pub forward: address::Address<transfer::Command>,
    /// Commands to the transfer in the backward direction.
    pub backward: address::Address<transfer::Command>,
    /// Resets both sockets when it is dropped.
    pub reset: oneshot::Sender<()>,
    /// Whether the connection is blackholed, so that later faults don't apply to it.
    pub blackholed: bool,
}

/// Receivers of the commands that are sent through a [`Handle`].
pub struct Commands {
    forward: mailbox::Mailbox<transfer::Command>,
    backward: mailbox::Mailbox<transfer::Command>,
    reset: oneshot::Receiver<()>,
}

/// Creates a handle and the receivers of its commands.
#[must_use]
pub fn channel() -> (Handle, Commands) {
    let (forward, forward_commands) = mailbox::Mailbox::new(COMMAND_CAPACITY);
    let (backward, backward_commands) = mailbox::Mailbox::new(COMMAND_CAPACITY);
    let (reset, reset_request) = oneshot::channel();
    let handle = Handle {
        forward,
        backward,
        reset,
        blackholed: false,
    };
    let commands = Commands {
        forward: forward_commands,
        backward: backward_commands,
        reset: reset_request,
    };
    (handle, commands)
}

/// Relays a connection until both directions end or it is reset.
///
/// # Errors
/// The error of the operating system when a socket fails.
pub async fn run(pair: acceptor::Pair, fault: fault::Fault, commands: Commands) -> io::Result<()> {
    let sockets = [pair.client.try_clone()?, pair.upstream.try_clone()?];
    let (client_reader, client_writer) = convert(pair.client)?.into_split();
    let (upstream_reader, upstream_writer) = convert(pair.upstream)?.into_split();
    let forward = transfer::Transfer::new(
        fault::Direction::Forward,
        fault,
        client_reader,
        upstream_writer,
        commands.forward,
    );
    let backward = transfer::Transfer::new(
        fault::Direction::Backward,
        fault,
        upstream_reader,
        client_writer,
        commands.backward,
    );
    let transfers = future::try_join(forward.run(), backward.run());
    monoio::select! {
        done = transfers => { done?; }
        _ = commands.reset => {
            for socket in &sockets {
                reset_on_close(socket)?;
            }
        }
    }
    Ok(())
}

fn convert(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    TcpStream::from_std(stream)
}

/// Makes closing the socket send a TCP reset.
///
/// # Errors
/// The error of the operating system.
pub fn reset_on_close(socket: &std::net::TcpStream) -> io::Result<()> {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}
