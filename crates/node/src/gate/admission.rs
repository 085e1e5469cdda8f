//! A request that may go on to a target.

use std::time::Instant;

use masticarch_model::name;

use crate::gate::{choice, key};

/// A request that may go on to a target.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The request in flight; ended by `gate::message::Message::End`.
    pub request: key::RequestKey,
    /// Id of the root request.
    pub root: Box<str>,
    /// Whether the caller gave the id, so that the ledger must be asked.
    pub recognised: bool,
    /// Team; none on routes open to all.
    pub team: Option<name::Name>,
    /// Route.
    pub route: name::Name,
    /// Service.
    pub service: name::Name,
    /// Weight of the team within its priority.
    pub weight: u16,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// When the request's time is over.
    pub deadline: Instant,
    /// Whether the request may run more than once without harm; if not, it is
    /// claimed before it is sent.
    pub idempotent: bool,
    /// Target of the first attempt.
    pub choice: choice::Choice,
}
