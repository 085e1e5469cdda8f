//! What a stand-in is started with.

use std::net::SocketAddr;

use bon::Builder;
use serde::{Deserialize, Serialize};

use super::{behaviour, calls, distribution};

/// What a stand-in is started with.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Service whose target it is.
    #[builder(into)]
    pub service: String,
    /// Listening address for requests.
    pub address: SocketAddr,
    /// Listening address for control.
    pub control: SocketAddr,
    /// Admin port of its node; without one it announces itself nowhere.
    #[serde(default)]
    pub node_admin: Option<SocketAddr>,
    /// Caller port of its node, for sub-calls.
    #[serde(default)]
    pub node_caller: Option<SocketAddr>,
    /// Requests that run at once; further ones queue inside.
    #[serde(default = "default_slots")]
    #[builder(default = default_slots())]
    pub slots: usize,
    /// Connections that it accepts at once.
    #[serde(default = "default_connections")]
    #[builder(default = default_connections())]
    pub connections: usize,
    /// Length of its queue above which it refuses with 503 by itself.
    #[serde(default = "default_queue")]
    #[builder(default = default_queue())]
    pub queue: usize,
    /// Time that the work of a request takes.
    #[serde(default)]
    #[builder(default)]
    pub service_ms: distribution::Distribution,
    /// Time after the start during which the work is slower.
    #[serde(default)]
    #[builder(default)]
    pub cold_ms: u64,
    /// Factor on the service time during that time.
    #[serde(default = "default_factor")]
    #[builder(default = default_factor())]
    pub cold_factor: f64,
    /// What can be changed while it runs, at its start.
    #[serde(default)]
    #[builder(default)]
    pub behaviour: behaviour::Behaviour,
    /// Calls to other services.
    #[serde(default)]
    #[builder(default)]
    pub calls: calls::Plan,
    /// Seed of service times and failures.
    #[serde(default)]
    #[builder(default)]
    pub seed: u64,
}

const fn default_slots() -> usize {
    70
}

const fn default_connections() -> usize {
    530
}

const fn default_queue() -> usize {
    100_000
}

const fn default_factor() -> f64 {
    1.0
}
