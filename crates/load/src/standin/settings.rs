//! Settings of a stand-in.

use std::net::SocketAddr;

use bon::Builder;
use serde::{Deserialize, Serialize};

use super::{behaviour, calls, distribution};

/// Settings of a stand-in.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Service of which the stand-in is a target.
    #[builder(into)]
    pub service: String,
    /// Listening address for requests.
    pub address: SocketAddr,
    /// Listening address for control: changing the behaviour and reading the records.
    pub control: SocketAddr,
    /// Admin port of the stand-in's node; without one the stand-in does not announce
    /// itself.
    #[serde(default)]
    pub node_admin: Option<SocketAddr>,
    /// Caller port of the stand-in's node, through which it makes sub-calls; they fail
    /// without one.
    #[serde(default)]
    pub node_caller: Option<SocketAddr>,
    /// Number of requests that run concurrently; further ones wait in its queue.
    #[serde(default = "default_slots")]
    #[builder(default = default_slots())]
    pub slots: usize,
    /// Maximum number of concurrent connections; further ones are closed.
    #[serde(default = "default_connections")]
    #[builder(default = default_connections())]
    pub connections: usize,
    /// Maximum length of its queue; further requests are answered with 503.
    #[serde(default = "default_queue")]
    #[builder(default = default_queue())]
    pub queue: usize,
    /// Service time of a request, in milliseconds.
    #[serde(default)]
    #[builder(default)]
    pub service_ms: distribution::Distribution,
    /// Warm-up time after the start, during which `cold_factor` applies.
    #[serde(default)]
    #[builder(default)]
    pub cold_ms: u64,
    /// Factor on the service time during the warm-up.
    #[serde(default = "default_factor")]
    #[builder(default = default_factor())]
    pub cold_factor: f64,
    /// Initial behaviour.
    #[serde(default)]
    #[builder(default)]
    pub behaviour: behaviour::Behaviour,
    /// Sub-calls to other services.
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
