//! Pool of connections to one target, bounded by the number that the target accepts.

use std::rc::Rc;
use std::time::Instant;

use masticarch_wire::http::connection;
use monoio::net::TcpStream;

use super::instance;

/// A connection to a target.
pub type Connection = connection::Connection<TcpStream>;

/// The right to one of the connections that a target accepts, with the connection once
/// it is open. Dropping the slot frees its place in the pool, however its task ends.
#[derive(Debug)]
pub struct Slot {
    /// The open connection, if there is one.
    pub connection: Option<Connection>,
    /// The target's instance, if it was announced.
    pub instance: Option<Rc<instance::Instance>>,
    /// When the connection is no longer used, if the target has stated for how long it
    /// keeps an idle one open.
    pub expires: Option<Instant>,
    _permit: Rc<()>,
}

/// Pool of connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    instance: Option<Rc<instance::Instance>>,
    max_connections: usize,
    idle: Vec<Slot>,
    permits: Rc<()>,
}

impl Pool {
    /// An empty pool for one instance of a target.
    #[must_use]
    pub fn new(instance: Option<instance::Instance>) -> Self {
        Self {
            instance: instance.map(Rc::new),
            ..Self::default()
        }
    }

    /// Whether the connections are to the run that this instance was announced for.
    #[must_use]
    pub fn is_for(&self, instance: Option<&instance::Instance>) -> bool {
        match (&self.instance, instance) {
            (Some(own), Some(other)) => own.is_same_run(other),
            (own, other) => own.is_none() && other.is_none(),
        }
    }

    /// Sets the number of connections that the target accepts, and closes idle
    /// connections above it.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
        self.idle.truncate(max_connections);
    }

    /// Takes a slot with an idle connection, or one without, whose holder may open a
    /// connection; `None` when all are in use.
    pub fn checkout(&mut self, now: Instant) -> Option<Slot> {
        while let Some(mut slot) = self.idle.pop() {
            let fresh = slot.expires.is_none_or(|expires| now < expires);
            if fresh
                && slot
                    .connection
                    .as_mut()
                    .is_some_and(Connection::is_reusable)
            {
                return Some(slot);
            }
        }
        let used = Rc::strong_count(&self.permits) - 1;
        (used < self.max_connections).then(|| Slot {
            connection: None,
            instance: self.instance.clone(),
            expires: None,
            _permit: Rc::clone(&self.permits),
        })
    }

    /// Keeps a slot with its connection for another request. It is dropped when the
    /// target accepts fewer connections now, or is another instance.
    pub fn checkin(&mut self, slot: Slot) {
        let fits = Rc::strong_count(&self.permits) - 1 <= self.max_connections;
        if fits && self.is_for(slot.instance.as_deref()) {
            self.idle.push(slot);
        }
    }
}
