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
    _place: Rc<()>,
}

/// Connections to one target.
#[derive(Debug, Default)]
pub struct Pool {
    instance: Option<Rc<str>>,
    limit: usize,
    idle: Vec<Slot>,
    places: Rc<()>,
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
    pub fn is_of(&self, instance: Option<&str>) -> bool {
        self.instance.as_deref() == instance
    }

    /// Sets the number of connections that the target accepts.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.idle.truncate(limit);
    }

    /// Takes a slot: an idle connection, or the right to open one.
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
        let used = Rc::strong_count(&self.places) - 1;
        (used < self.limit).then(|| Slot {
            connection: None,
            instance: self.instance.clone(),
            expires: None,
            _place: Rc::clone(&self.places),
        })
    }

    /// Keeps the connection of a slot for another request.
    pub fn checkin(&mut self, slot: Slot) {
        let fits = Rc::strong_count(&self.places) - 1 <= self.limit;
        if fits && self.is_of(slot.instance.as_deref()) {
            self.idle.push(slot);
        }
    }
}
