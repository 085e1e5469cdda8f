//! A request that waits for a target.

use masticarch_kernel::reply;
use masticarch_policy::credit::account;

use crate::admission::{entry, message, permit};

/// A request that waits for a target.
#[derive(Debug)]
pub struct Waiter {
    pub entry: Box<entry::Entry>,
    pub account: account::Account,
    pub reply: reply::Reply<Result<permit::Permit, message::Denial>>,
}
