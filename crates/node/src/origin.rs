//! Where a request comes from.

use std::time::Instant;

use masticarch_kernel::stop;
use masticarch_model::name;

use crate::admission::key;

/// What a sub-call inherits from the running call of its parent.
#[derive(Clone, Debug)]
pub struct Parent {
    /// The parent on this node.
    pub call: key::CallKey,
    /// Id of the root request.
    pub root: Box<str>,
    /// Team of the root request; none on routes open to all.
    pub team: Option<name::Name>,
    /// Rank of the root request's priority: 0 is the highest.
    pub rank: u8,
    /// When the root request's time is over.
    pub deadline: Instant,
    /// Retry credit lent by the parent.
    pub credit: u8,
    /// Whether every execution below costs one credit.
    pub repeat: bool,
    /// Resolves when the parent has ended, so that the sub-call is cancelled.
    pub ended: stop::Stop,
}

/// Where a request comes from.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A caller outside, with the text of its key if it sent one.
    Caller(Option<Box<str>>),
    /// A target beside this node, within a running call.
    SubCall(Parent),
}
