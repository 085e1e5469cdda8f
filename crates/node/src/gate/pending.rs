//! A request that may run under its route and key.

use masticarch_kernel::reply;
use masticarch_model::name;

use crate::gate::{admission, balancer, context};
use crate::refusal;

/// Slot for the answer to a new request.
pub type Reply = reply::Reply<Result<admission::Admission, refusal::Refusal>>;

/// A request that may run under its route and key; it may wait for tokens of
/// its team's rate.
#[derive(Debug)]
pub struct Pending {
    pub reply: Reply,
    pub context: context::Context,
    pub team: Option<name::Name>,
    /// Weight of the team within its priority.
    pub weight: u16,
    /// Whether it takes a token of its team's rate.
    pub rated: bool,
    pub route: name::Name,
    pub service: name::Name,
    pub upstream: balancer::UpstreamKey,
    pub idempotent: bool,
    pub max_attempts: Option<u8>,
}
