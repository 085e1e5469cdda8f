//! A request that waits for its permit.

use masticarch_kernel::reply;
use masticarch_policy::credit::account;

use crate::admission::{entry, message, permit};

/// A request in the queue of a target, which waits for its permit.
#[derive(Debug)]
pub struct Waiter {
    pub entry: Box<entry::Entry>,
    pub account: account::Account,
    pub reply: reply::Reply<Result<permit::Permit, message::Denial>>,
}
