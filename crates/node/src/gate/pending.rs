//! A request that may run under its route and key.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::name;
use masticarch_policy::credit::loan;

use crate::gate::{admission, remotes};
use crate::refusal;

/// Slot for the answer to a new request.
pub type Reply = reply::Reply<Result<admission::Admission, refusal::Refusal>>;

/// A request that may run under its route and key; it may wait for tokens of
/// its team's rate.
#[derive(Debug)]
pub struct Pending {
    pub reply: Reply,
    pub root: Box<str>,
    pub recognised: bool,
    pub team: Option<name::Name>,
    pub weight: u16,
    pub route: name::Name,
    pub service: name::Name,
    pub pool: remotes::PoolKey,
    pub rank: u8,
    pub deadline: Instant,
    pub idempotent: bool,
    pub loan: loan::Loan,
}
