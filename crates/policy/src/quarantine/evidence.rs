//! Evidence against a request: a crash of a target that ran it.

use std::time::Instant;

use super::crash;

/// A crash of a target, as evidence against a request that ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The crash.
    pub crash: crash::Id,
    /// When it was noticed.
    pub at: Instant,
    /// The run of the target that ended, or the name of its node.
    pub target: Box<str>,
    /// Id of the root request.
    pub request: Box<str>,
    /// Whether no other request that ran there is as likely to be the cause.
    pub conclusive: bool,
    /// Whether the request has completed since, so that it was not the cause.
    pub cleared: bool,
}
