//! Fleets that are ready and configured.

use std::time::Duration;

use masticarch_load::fleet::{self, objects};
use masticarch_load::standin::distribution;

use crate::daemon;

/// Longest wait until processes are ready and configurations are in force. It is
/// far above the bounds of the design, which other tests check.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a fleet, applies a configuration, and waits until the configuration is
/// in force on every node and every node knows every stand-in as a target.
///
/// # Panics
/// When a step fails or takes too long.
pub async fn fleet(spec: &fleet::Spec, objects: objects::Objects) -> fleet::Fleet {
    daemon::build();
    let fleet = fleet::Fleet::start(spec).expect("the fleet starts");
    fleet
        .wait_ready(CONVERGENCE_TIMEOUT)
        .await
        .expect("all processes are ready");
    let version = fleet.operator.replace(objects.configuration).await;
    let version = version.expect("the configuration is accepted");
    let names = fleet.node_names();
    let in_force = fleet
        .operator
        .wait_applied(version, &names, CONVERGENCE_TIMEOUT);
    in_force.await.expect("the configuration is in force");
    let known = fleet.wait_targets(CONVERGENCE_TIMEOUT).await;
    known.expect("all targets are known");
    let status = fleet.operator.status().await;
    let version = status.expect("the leader answers").version;
    let in_force = fleet
        .operator
        .wait_applied(version, &names, CONVERGENCE_TIMEOUT);
    in_force.await.expect("every node knows all targets");
    fleet
}

/// A node without a target.
#[must_use]
pub fn bare_node() -> fleet::spec::Node {
    fleet::spec::Node::builder().build()
}

/// A node with a local target, which is a stand-in for a service.
#[must_use]
pub fn node_with(target: fleet::spec::Target) -> fleet::spec::Node {
    fleet::spec::Node::builder().target(target).build()
}

/// A stand-in for a service that spends a fixed time on each request.
#[must_use]
pub fn target(service: &str, milliseconds: f64) -> fleet::spec::Target {
    fleet::spec::Target::builder()
        .service(service)
        .service_ms(distribution::Distribution::Fixed(milliseconds))
        .build()
}
