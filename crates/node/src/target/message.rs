//! Messages to the service that keeps the local targets.

use std::net::SocketAddr;

use masticarch_kernel::reply;
use masticarch_model::{name, target};

use super::{announcement, pool, runs, withdrawal};

/// Messages to the service that keeps the local targets.
#[derive(Debug)]
pub enum Message {
    /// A target announced itself or renewed its announcement.
    Announce(name::Name, announcement::Announcement),
    /// A target withdrew its announcement. If the withdrawal names a run, it has no effect
    /// on another one, and later announcements of that run count no more.
    Withdraw(name::Name, withdrawal::Withdrawal),
    /// A run of a target has stated that it is leaving: it gets no new requests, whatever
    /// it announces. `None` names a target that does not identify its runs. Has no
    /// effect on another run.
    Leaving(name::Name, Option<Box<str>>, reply::Reply<()>),
    /// Lists the announced targets.
    List(reply::Reply<Vec<target::Target>>),
    /// Lists the runs of the targets.
    Runs(reply::Reply<runs::Runs>),
    /// Checks out a slot for a connection to a target; `None` when all connections
    /// that the target accepts are in use.
    Checkout(SocketAddr, reply::Reply<Option<pool::Slot>>),
    /// Returns a slot whose connection can carry another request.
    Checkin(SocketAddr, pool::Slot),
}
