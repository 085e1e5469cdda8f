//! Messages to the quarantine.

use std::net::SocketAddr;
use std::rc::Rc;

use masticarch_kernel::reply;
use masticarch_model::{directory, incarnation, name};
use masticarch_policy::quarantine::{fingerprint, suspect};
use masticarch_wire::message::quarantine as wire;

use super::{status, turn};
use crate::refusal;

/// Whether a request may run, with its turn if it runs in isolation.
pub type Decision = Result<Option<turn::Turn>, refusal::Refusal>;

/// Messages to the quarantine.
#[derive(Debug)]
pub enum Message {
    /// Asks whether a request may run. The reply waits while another suspect runs in
    /// isolation.
    Begin(Box<suspect::Suspect>, reply::Reply<Decision>),
    /// The request that ran in isolation at the target of a service has ended.
    End(name::Name),
    /// A request has completed: its target has sent a whole answer.
    Completed(fingerprint::Fingerprint),
    /// The connection on which the target at this address ran a request was closed
    /// without a whole answer. The text identifies the run of the target.
    Lost(Box<suspect::Suspect>, SocketAddr, Option<Box<str>>),
    /// A request was given up while a target may still run it.
    Abandoned(Box<suspect::Suspect>),
    /// The target of a service has refused a connection for a request.
    Unreachable(name::Name),
    /// The target of a service accepts connections, or refuses them.
    Probed(name::Name, bool),
    /// The target of a service has announced whether it is leaving.
    Announced {
        /// Service of the target.
        service: name::Name,
        /// Whether it is about to end in an orderly way.
        leaving: bool,
    },
    /// The target of a service has announced another run than before.
    Restarted(name::Name),
    /// Installs a directory.
    Install(Rc<directory::Directory>),
    /// Another node tells what it knows.
    Merge(wire::Batch),
    /// A node has acknowledged the table up to this version; `None` when the batch may not
    /// have arrived.
    Pushed(name::Name, incarnation::Incarnation, Option<u64>),
    /// Reads the requests that are quarantined, or about to be.
    Status(reply::Reply<Vec<status::Status>>),
}
