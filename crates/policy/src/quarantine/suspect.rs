//! A request that ran at a target when it crashed.

use masticarch_model::name;

use super::fingerprint;

/// A request that runs, or ran when the target crashed.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Identity of its content.
    pub fingerprint: fingerprint::Fingerprint,
    /// Id of the root request.
    pub request: Box<str>,
    /// Service of the target.
    pub service: name::Name,
    /// Team of the root request.
    pub team: Option<name::Name>,
}
