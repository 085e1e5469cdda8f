//! A request in flight at its entry node.

use std::time::Instant;

use masticarch_policy::credit::purse;

use crate::gate::{choice, remote, remotes};

/// A request in flight at its entry node.
#[derive(Debug)]
pub struct Running {
    pub pool: remotes::PoolKey,
    pub rank: u8,
    pub deadline: Instant,
    pub idempotent: bool,
    pub purse: purse::Purse,
    /// Targets of the attempts so far; the last one is the present one.
    pub tried: Vec<remote::RemoteKey>,
    /// Whether the present attempt has neither been reported nor withdrawn.
    pub outstanding: bool,
    /// The present attempt.
    pub choice: choice::Choice,
}

impl Running {
    /// Target of the present attempt.
    pub fn remote(&self) -> Option<remote::RemoteKey> {
        self.tried.last().copied()
    }
}
