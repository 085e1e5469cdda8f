//! What a request asks of a service.

use masticarch_model::name;

use crate::gate::balancer;

/// What a request asks of a service, by which its target is chosen.
#[derive(Clone, Debug)]
pub struct Work {
    /// The service.
    pub upstream: balancer::UpstreamKey,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Route of the request, by which its service time is estimated.
    pub route: name::Name,
}
