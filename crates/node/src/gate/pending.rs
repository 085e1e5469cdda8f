//! A request that passed the checks of its route and key.

use masticarch_kernel::reply;
use masticarch_model::name;

use crate::gate::{admission, balancer, context};
use crate::refusal;

/// Reply to a new request.
pub type Reply = reply::Reply<Result<admission::Admission, refusal::Refusal>>;

/// A request that passed the checks of its route and key, and may still wait for a
/// token of its team's rate.
#[derive(Debug)]
pub struct Pending {
    pub reply: Reply,
    pub context: context::Context,
    /// Team; absent on routes open to all.
    pub team: Option<name::Name>,
    /// Weight of the team within its priority.
    pub weight: u16,
    /// Whether the request takes a token of its team's rate; sub-calls and requests
    /// without a team do not.
    pub rated: bool,
    pub route: name::Name,
    pub service: name::Name,
    pub upstream: balancer::UpstreamKey,
    pub idempotent: bool,
    /// Most targets to which the request is sent.
    pub max_attempts: Option<u8>,
}
