//! What the registry and the ports ask of the allotment.

use masticarch_kernel::reply;
use masticarch_model::{incarnation, map};
use masticarch_policy::share::lease;

use crate::agreement::event;

/// Asked of the service [`crate::name::QUOTA`].
#[derive(Debug)]
pub enum Message {
    /// Whether this process leads; each term gets a new owner. The runs of
    /// nodes that may hold shares of earlier owners come with it.
    Role(event::Leadership, map::Set<incarnation::Incarnation>),
    /// Runs that join from here on were known to no earlier owner.
    CaughtUp,
    /// A run of a node that may hold shares from now on, and runs that have
    /// ended.
    Holders(
        Option<incarnation::Incarnation>,
        Vec<incarnation::Incarnation>,
    ),
    /// Those of the silent runs that hold no share; they get none until they join
    /// again.
    Release(
        Vec<incarnation::Incarnation>,
        reply::Reply<Vec<incarnation::Incarnation>>,
    ),
    /// The limits of all teams.
    Limits(Vec<lease::Limit>),
    /// Decides on a node's reports; `None` when this process does not lead or
    /// the node has given up the connection.
    Renew(lease::Request, reply::Reply<Option<Vec<lease::Grant>>>),
    /// What is leased of each team's limit.
    Usage(reply::Reply<Vec<lease::Usage>>),
}
