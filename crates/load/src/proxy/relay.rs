//! The task of one connection.

use std::io;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use masticarch_kernel::{address, mailbox};
use monoio::io::Splitable;
use monoio::net::TcpStream;

use super::{acceptor, fault, pump};

/// Orders that a pump holds before they are dropped.
const CAPACITY: usize = 64;

/// How the proxy reaches the task of a connection.
pub struct Link {
    /// Orders to the forward direction.
    pub forward: address::Address<pump::Order>,
    /// Orders to the backward direction.
    pub backward: address::Address<pump::Order>,
    /// Resets both sides when dropped.
    pub reset: oneshot::Sender<()>,
    /// Whether the connection is silent for good.
    pub blackholed: bool,
}

/// Receiving ends of a [`Link`].
pub struct Orders {
    forward: mailbox::Mailbox<pump::Order>,
    backward: mailbox::Mailbox<pump::Order>,
    reset: oneshot::Receiver<()>,
}

/// Makes a link and its receiving ends.
#[must_use]
pub fn link() -> (Link, Orders) {
    let (forward, forward_orders) = mailbox::Mailbox::new(CAPACITY);
    let (backward, backward_orders) = mailbox::Mailbox::new(CAPACITY);
    let (reset, reset_order) = oneshot::channel();
    let link = Link {
        forward,
        backward,
        reset,
        blackholed: false,
    };
    let orders = Orders {
        forward: forward_orders,
        backward: backward_orders,
        reset: reset_order,
    };
    (link, orders)
}

/// Relays a connection until both directions end or it is reset.
///
/// # Errors
/// The error of the operating system when a socket fails.
pub async fn run(pair: acceptor::Pair, fault: fault::Fault, orders: Orders) -> io::Result<()> {
    let sockets = [pair.client.try_clone()?, pair.upstream.try_clone()?];
    let (client_reader, client_writer) = convert(pair.client)?.into_split();
    let (upstream_reader, upstream_writer) = convert(pair.upstream)?.into_split();
    let forward = pump::Pump::new(
        fault::Direction::Forward,
        fault,
        client_reader,
        upstream_writer,
        orders.forward,
    );
    let backward = pump::Pump::new(
        fault::Direction::Backward,
        fault,
        upstream_reader,
        client_writer,
        orders.backward,
    );
    let pumps = future::try_join(forward.run(), backward.run());
    monoio::select! {
        done = pumps => { done?; }
        _ = orders.reset => {
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

/// Makes the close of a socket a reset.
///
/// # Errors
/// The error of the operating system.
pub fn reset_on_close(socket: &std::net::TcpStream) -> io::Result<()> {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}
