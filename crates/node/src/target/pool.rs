//! Connections to one target, within the number that it accepts.

use std::rc::Rc;
use std::time::Instant;

use masticarch_wire::http::connection;
use monoio::net::TcpStream;

/// A connection to a target.
pub type Connection = connection::Connection<TcpStream>;

/// One of the connections that a target accepts; open once it was used. Its
/// place is free again when the slot is dropped, however its task ends.
#[derive(Debug)]
pub struct Slot {
    /// The open connection, if there is one.
    pub connection: Option<Connection>,
    /// Run of the target, where the target has told it.
    pub instance: Option<Rc<str>>,
    /// When the target may close the connection, where it has told it.
    pub expires: Option<Instant>,
    _permit: Rc<()>,
}

/// Connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    instance: Option<Rc<str>>,
    max_connections: usize,
    idle: Vec<Slot>,
    permits: Rc<()>,
}

impl Pool {
    /// Connections to one run of a target.
    #[must_use]
    pub fn new(instance: Option<&str>) -> Self {
        Self {
            instance: instance.map(Into::into),
            ..Self::default()
        }
    }

    /// Whether the connections are to this run of the target.
    #[must_use]
    pub fn is_for(&self, instance: Option<&str>) -> bool {
        self.instance.as_deref() == instance
    }

    /// Sets the number of connections that the target accepts.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
        self.idle.truncate(max_connections);
    }

    /// Takes a slot: an idle connection, or the right to open one.
    pub fn checkout(&mut self, now: Instant) -> Option<Slot> {
        while let Some(mut slot) = self.idle.pop() {
            let fresh = slot.expires.is_none_or(|expires| now < expires);
            if fresh && slot.connection.as_mut().is_some_and(Connection::is_idle) {
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

    /// Keeps the connection of a slot for another request.
    pub fn checkin(&mut self, slot: Slot) {
        let fits = Rc::strong_count(&self.permits) - 1 <= self.max_connections;
        if fits && self.is_for(slot.instance.as_deref()) {
            self.idle.push(slot);
        }
    }
}
