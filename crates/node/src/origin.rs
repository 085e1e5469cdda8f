//! Origin of a request: a caller outside the fleet, or a running call.

use std::time::Instant;

use masticarch_kernel::stop;
use masticarch_model::name;

use crate::admission::key;

/// The running call that a sub-call belongs to, with what the sub-call inherits.
#[derive(Clone, Debug)]
pub struct Parent {
    /// Key of the running call on this node.
    pub call: key::CallKey,
    /// Id of the root request.
    pub root: Box<str>,
    /// Team of the root request; absent on routes open to all.
    pub team: Option<name::Name>,
    /// Rank of the root request's priority: 0 is the highest.
    pub rank: u8,
    /// Deadline of the root request.
    pub deadline: Instant,
    /// Retry credit lent to the sub-call; what is left goes back at its end.
    pub credit: u8,
    /// Whether every execution in the call tree of the sub-call costs one credit.
    pub repeat: bool,
    /// Set when the running call has ended; the sub-call is cancelled then.
    pub ended: stop::Stop,
}

/// Origin of a request.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A caller outside the fleet, with the text of its key if it sent one.
    Caller(Option<Box<str>>),
    /// A target beside this node that sends a request within a running call.
    SubCall(Parent),
}
