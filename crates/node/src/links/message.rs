//! Messages to the service that keeps connections to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use masticarch_kernel::{reply, stop};
use masticarch_wire::http::connection;
use monoio::net::TcpStream;

use super::probe;

/// A connection to another node.
pub type Connection = connection::Connection<TcpStream>;

/// A pooled connection to another node.
#[derive(Debug)]
pub struct Pooled {
    /// Connection that carries one request at a time.
    pub connection: Connection,
    /// Time just before the connection was opened.
    pub opened: Instant,
}

/// Reply to [`Message::Checkout`]: what one exchange with another node needs.
#[derive(Debug)]
pub struct Checkout {
    /// An idle connection; when it is `None`, the receiver opens one.
    pub connection: Option<Pooled>,
    /// Generation of the connections to that node. A new one begins when those of the
    /// last have gone silent or were no longer used.
    pub generation: u64,
    /// Set when a probe of this generation was not answered.
    pub suspect: stop::Stop,
    /// Set when the connections of this generation are known to be silent, and not only
    /// the node for a while.
    pub silent: stop::Stop,
    /// Kept until the exchange ends: a generation in use is not removed.
    pub in_use: Rc<()>,
}

/// Messages to the service that keeps connections to other nodes.
#[derive(Debug)]
pub enum Message {
    /// Checks out a connection to a node.
    Checkout(SocketAddr, reply::Reply<Checkout>),
    /// Returns a connection of this generation that can carry another request.
    Checkin(SocketAddr, u64, Pooled),
    /// Asks whether this generation must be probed now.
    IsProbeDue(SocketAddr, u64, reply::Reply<probe::Due>),
    /// A probe of this generation was answered.
    Alive(SocketAddr, u64),
    /// No new exchange is to use this generation.
    Retire(SocketAddr, u64),
}
