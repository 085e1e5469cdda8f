//! Connections to one target, within the number that it accepts.

use std::rc::Rc;

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
    _place: Rc<()>,
}

/// Connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    limit: usize,
    idle: Vec<Slot>,
    places: Rc<()>,
}

impl Pool {
    /// Sets the number of connections that the target accepts.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.idle.truncate(limit);
    }

    /// Takes a slot: an idle connection, or the right to open one.
    pub fn checkout(&mut self) -> Option<Slot> {
        while let Some(mut slot) = self.idle.pop() {
            if slot.connection.as_mut().is_some_and(Connection::is_idle) {
                return Some(slot);
            }
        }
        let used = Rc::strong_count(&self.places) - 1;
        (used < self.limit).then(|| Slot {
            connection: None,
            _place: Rc::clone(&self.places),
        })
    }

    /// Keeps the connection of a slot for another request.
    pub fn checkin(&mut self, slot: Slot) {
        if Rc::strong_count(&self.places) - 1 <= self.limit {
            self.idle.push(slot);
        }
    }
}
