//! Commands of the replicated log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{attempt, change, claim, incarnation, name, node, settlement, target};

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change(change::Change),
    /// Adds a node, or replaces its earlier incarnation.
    Join(node::Node),
    /// Removes nodes, if they still have these incarnations.
    Leave(Vec<(name::Name, incarnation::Incarnation)>),
    /// Removes a node that has stopped in an orderly way, if it still has this
    /// incarnation.
    Depart(name::Name, incarnation::Incarnation),
    /// Sets all targets of a node, if it still has this incarnation.
    Announce(name::Name, incarnation::Incarnation, Vec<target::Target>),
    /// Claims a non-idempotent request.
    Claim(claim::Subject, [u8; 32], attempt::Attempt),
    /// Settles a claim, if this attempt still holds it.
    Settle(claim::Subject, attempt::Attempt, settlement::Settlement),
    /// Forgets settled claims.
    Forget(Vec<claim::Subject>),
    /// Asks a node to drain: its targets take nothing new until another
    /// incarnation joins.
    Drain(name::Name),
    /// Records where the members of the control group are reached; made from
    /// changes of the members, never proposed.
    Control(Vec<SocketAddr>),
}
