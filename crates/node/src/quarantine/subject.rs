//! A request whose run may have crashed its target.

use masticarch_model::name;
use masticarch_policy::quarantine::fingerprint;

/// A request that runs or ran at a target.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Identity of its content.
    pub fingerprint: fingerprint::Fingerprint,
    /// Id of the root request.
    pub request: Box<str>,
    /// Service of the target.
    pub service: name::Name,
    /// Team of the root request.
    pub team: Option<name::Name>,
}
