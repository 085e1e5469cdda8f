//! State of a node, in the form of the JSON at `/status`.

use serde::Serialize;

use crate::admission::message as admission;
use crate::sync::message as sync;
use crate::{admission as decisions, services};

/// State of a node at the time of a request to `/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Version of the node's copy of the published state.
    pub version: u64,
    /// Version of the configuration in that copy.
    pub configuration_version: u64,
    /// Milliseconds since the copy was known to be current; `null` when it never was.
    pub current_ms: Option<u128>,
    /// Whether the node is draining before it stops.
    pub draining: bool,
    /// Requests in flight.
    pub in_flight: usize,
    /// Announced targets beside the node.
    pub targets: Vec<Target>,
}

/// One target beside the node.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// Name of the service that the target serves.
    pub service: String,
    /// Announced slots.
    pub slots: u32,
    /// Announced connections.
    pub connections: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Highest rank number that is admitted; requests of lower priority, which have a
    /// greater rank number, are shed.
    pub overload: u8,
}

impl Status {
    /// Reads the state from the services; `None` while the node stops.
    pub async fn read(services: &services::Services) -> Option<Self> {
        let copy = services.sync.ask(sync::Message::Status).await.ok()?;
        let targets = services
            .admission
            .ask(admission::Message::Status)
            .await
            .ok()?;
        Some(Self {
            node: services.options.name.to_string(),
            incarnation: services.incarnation.to_string(),
            version: copy.version.0,
            configuration_version: copy.configuration_version.0,
            current_ms: copy.age.map(|age| age.as_millis()),
            draining: copy.draining,
            in_flight: services.in_flight.count(),
            targets: targets.into_iter().map(target).collect(),
        })
    }
}

fn target(
    entry: (
        masticarch_model::target::Target,
        decisions::summary::Summary,
    ),
) -> Target {
    let (target, summary) = entry;
    Target {
        service: target.service.to_string(),
        slots: target.slots,
        connections: target.connections,
        limit: summary.limit,
        in_flight: summary.in_flight,
        overload: summary.overload,
    }
}
