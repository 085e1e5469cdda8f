//! Messages to the service that keeps connections to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use masticarch_kernel::{reply, stop};
use masticarch_wire::http::connection;
use monoio::net::TcpStream;

/// A connection to another node.
pub type Connection = connection::Connection<TcpStream>;

/// A connection and when it was opened.
#[derive(Debug)]
pub struct Pooled {
    /// The connection.
    pub connection: Connection,
    /// When it was opened, before its first byte was sent.
    pub opened: Instant,
}

/// What an attempt needs for one exchange with another node.
#[derive(Debug)]
pub struct Checkout {
    /// An idle connection; when there is none the attempt opens one.
    pub connection: Option<Pooled>,
    /// Number of the generation of connections to that node.
    pub generation: u64,
    /// Resolves when the connections of this generation have gone silent.
    pub silent: stop::Stop,
    /// Held for as long as the exchange lasts: a generation in use is kept.
    pub in_use: Rc<()>,
}

/// Messages to the service that keeps connections to other nodes.
#[derive(Debug)]
pub enum Message {
    /// Takes a connection to a node.
    Checkout(SocketAddr, reply::Reply<Checkout>),
    /// Gives back a connection that is fit for another request.
    Checkin(SocketAddr, u64, Pooled),
    /// Whether this generation must be probed now.
    IsProbeDue(SocketAddr, u64, reply::Reply<bool>),
    /// A probe of this generation was answered.
    Alive(SocketAddr, u64),
    /// A probe of this generation was not answered.
    Silent(SocketAddr, u64),
}
