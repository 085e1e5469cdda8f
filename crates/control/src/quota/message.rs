//! Messages to the service that leases shares of rate limits.

use masticarch_kernel::reply;
use masticarch_model::{incarnation, map};
use masticarch_policy::share::lease;

use crate::agreement::event;

/// A message to the service [`crate::name::QUOTA`].
#[derive(Debug)]
pub enum Message {
    /// Whether this process leads, with the incarnations of nodes that may hold
    /// shares granted by earlier leaders. The accounting starts anew in each term.
    Role(event::Leadership, map::Set<incarnation::Incarnation>),
    /// Incarnations that join from here on were unknown to earlier leaders, which
    /// cannot have granted shares to them.
    CaughtUp,
    /// An incarnation of a node that may hold shares from now on, and incarnations
    /// that have ended.
    Holders(
        Option<incarnation::Incarnation>,
        Vec<incarnation::Incarnation>,
    ),
    /// Returns those of the given silent incarnations that hold no share. They get
    /// none until they join again.
    Release(
        Vec<incarnation::Incarnation>,
        reply::Reply<Vec<incarnation::Incarnation>>,
    ),
    /// Replaces the limits of all teams.
    Limits(Vec<lease::Limit>),
    /// Grants shares for a node's reports; `None` when this process does not lead or
    /// the node has replaced the connection by a newer one.
    Renew(lease::Request, reply::Reply<Option<Vec<lease::Grant>>>),
    /// Returns how much of each team's limit is leased.
    Usage(reply::Reply<Vec<lease::Usage>>),
}
