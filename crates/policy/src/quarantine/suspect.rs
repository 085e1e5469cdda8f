//! A request that ran at a target when it crashed.

use super::fingerprint;

/// A request that ran at a target when it crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Identity of its content.
    pub fingerprint: fingerprint::Fingerprint,
    /// Id of the root request.
    pub request: Box<str>,
}
