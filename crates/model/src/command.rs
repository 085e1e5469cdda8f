//! Commands of the replicated log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{attempt, change, claim, incarnation, name, node, run, settlement, target};

/// A command of the replicated log, applied by [`crate::catalog::Catalog::apply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change(change::Change),
    /// Adds a node, or replaces its earlier incarnation.
    Join(node::Node),
    /// Removes expired nodes, which have not been heard from for too long, if they
    /// still have these incarnations.
    Expire(Vec<(name::Name, incarnation::Incarnation)>),
    /// Removes a node that shuts down gracefully, if it still has this incarnation.
    Leave(name::Name, incarnation::Incarnation),
    /// Sets all targets of a node, if it still has this incarnation.
    Announce(name::Name, incarnation::Incarnation, Vec<target::Target>),
    /// Claims a non-idempotent request with this digest for an attempt.
    Claim(claim::Subject, [u8; 32], attempt::Attempt),
    /// Settles a claim, if this attempt still holds it.
    Settle(claim::Subject, attempt::Attempt, settlement::Settlement),
    /// Removes settled claims.
    Forget(Vec<claim::Subject>),
    /// Asks a node to drain: its targets take no new requests until another
    /// incarnation of the node joins.
    Drain(name::Name),
    /// Sets the addresses of the control group's member ports. Derived from changes
    /// of the group's membership; never proposed as a command.
    Control(Vec<SocketAddr>),
    /// Records runs of targets at a node that are leaving or gone.
    Depart(name::Name, Vec<run::Run>),
}
