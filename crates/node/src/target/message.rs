//! Messages to the service that keeps the local targets.

use std::net::SocketAddr;

use masticarch_kernel::reply;
use masticarch_model::{name, target};

use super::{announcement, pool};

/// Messages to the service that keeps the local targets.
#[derive(Debug)]
pub enum Message {
    /// A target announced itself or renewed its announcement.
    Announce(name::Name, announcement::Announcement),
    /// A target withdrew its announcement.
    ///
    /// One that names a run has no effect on a later run.
    Withdraw(name::Name, Option<Box<str>>),
    /// Lists the announced targets.
    List(reply::Reply<Vec<target::Target>>),
    /// Takes a connection to a target; `None` when all connections that it
    /// accepts are in use.
    Checkout(SocketAddr, reply::Reply<Option<pool::Slot>>),
    /// Gives back a connection that is fit for another request.
    Checkin(SocketAddr, pool::Slot),
}
