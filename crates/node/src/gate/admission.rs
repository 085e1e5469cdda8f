//! Admission of a request at its entry node.

use std::time::Instant;

use masticarch_model::name;

use crate::gate::{choice, key};

/// A request that passed the gate, with everything that its attempts need.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Key of the request in flight; ended by `gate::message::Message::End`.
    pub request: key::RequestKey,
    /// Id of the root request.
    pub root: Box<str>,
    /// Whether resends carry the same id, so that the ledger can recognise them.
    pub has_stable_id: bool,
    /// Team; absent on routes open to all.
    pub team: Option<name::Name>,
    /// Name of the route.
    pub route: name::Name,
    /// Service to which the route leads.
    pub service: name::Name,
    /// Weight of the team within its priority.
    pub weight: u16,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Whether the request may run more than once without harm. If not, it is claimed
    /// before it is sent.
    pub idempotent: bool,
    /// Target of the first attempt.
    pub choice: choice::Choice,
}
