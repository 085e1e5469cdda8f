//! Description of a fleet.

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::standin::{behaviour, calls, distribution};

/// A node and the stand-in beside it.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its region.
    #[serde(default = "default_region")]
    #[builder(default = default_region(), into)]
    pub region: String,
    /// Its failure domain.
    #[serde(default = "default_domain")]
    #[builder(default = default_domain(), into)]
    pub domain: String,
    /// The stand-in beside it.
    #[serde(default)]
    pub target: Option<Target>,
}

/// A stand-in of a fleet; its addresses are chosen when it starts.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its service.
    #[builder(into)]
    pub service: String,
    /// Requests that run at once.
    #[serde(default = "default_slots")]
    #[builder(default = default_slots())]
    pub slots: usize,
    /// Connections at once.
    #[serde(default = "default_connections")]
    #[builder(default = default_connections())]
    pub connections: usize,
    /// Time of each request's work.
    #[serde(default)]
    #[builder(default)]
    pub service_ms: distribution::Distribution,
    /// Behaviour at its start.
    #[serde(default)]
    #[builder(default)]
    pub behaviour: behaviour::Behaviour,
    /// Calls to other services.
    #[serde(default)]
    #[builder(default)]
    pub calls: calls::Plan,
}

/// Description of a fleet.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Number of control processes.
    #[serde(default = "default_controls")]
    #[builder(default = default_controls())]
    pub controls: usize,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Whether the decisions of the request path are made.
    #[serde(default = "default_decisions")]
    #[builder(default = default_decisions())]
    pub decisions: bool,
    /// Whether fault proxies stand before the peer ports of nodes and the
    /// member ports of control processes.
    #[serde(default)]
    #[builder(default)]
    pub proxies: bool,
    /// Seed of the stand-ins.
    #[serde(default)]
    #[builder(default)]
    pub seed: u64,
}

fn default_region() -> String {
    "centro".into()
}

fn default_domain() -> String {
    "centro-a".into()
}

const fn default_slots() -> usize {
    70
}

const fn default_connections() -> usize {
    530
}

const fn default_controls() -> usize {
    1
}

const fn default_decisions() -> bool {
    true
}
