//! Messages to the quarantine.

use std::net::SocketAddr;

use masticarch_model::name;

use super::subject;

/// Messages to the quarantine.
#[derive(Debug)]
pub enum Message {
    /// The connection on which the target at this address ran a request was closed
    /// without a whole answer. The text identifies the run of the target.
    Lost(Box<subject::Subject>, SocketAddr, Option<Box<str>>),
    /// A request was given up while a target may still run it.
    Abandoned(Box<subject::Subject>),
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
}
