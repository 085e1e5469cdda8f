//! Addresses of the services that calls use.

use masticarch_kernel::address;

use crate::{agreement, liveness, metrics, quota, registry};

/// Addresses of the services that calls use; cheap to clone.
#[derive(Clone, Debug)]
pub struct Services {
    /// The replicated log.
    pub log: agreement::client::Client,
    /// Commands with their results.
    pub commands: registry::client::Client,
    /// Owner of the catalog.
    pub registry: address::Address<registry::message::Message>,
    /// Owner of the rate shares.
    pub quota: address::Address<quota::message::Message>,
    /// Owner of the times of last contact.
    pub liveness: address::Address<liveness::message::Message>,
    /// Metrics.
    pub metrics: metrics::Metrics,
}
