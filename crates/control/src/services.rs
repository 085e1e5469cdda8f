//! Addresses of the services of a control process.

use masticarch_kernel::address;

use crate::{agreement, liveness, metrics, quota, registry};

/// Addresses of the services that answer calls on the ports; cheap to clone.
#[derive(Clone, Debug)]
pub struct Services {
    /// The replicated log.
    pub log: agreement::client::Client,
    /// Commits commands and returns their results.
    pub commands: registry::client::Client,
    /// State machine that applies commands to the catalog.
    pub registry: address::Address<registry::message::Message>,
    /// Leases shares of the teams' rate limits to nodes.
    pub quota: address::Address<quota::message::Message>,
    /// Keeps the times of last contact with nodes.
    pub liveness: address::Address<liveness::message::Message>,
    /// Prometheus metrics of the process.
    pub metrics: metrics::Metrics,
}
