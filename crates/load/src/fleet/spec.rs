//! Description of a fleet to start.

use bon::Builder;
use serde::{Deserialize, Serialize};

use crate::standin::{behaviour, calls, distribution};

/// Description of a node and of the stand-in target beside it.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Region of the node.
    #[serde(default = "default_region")]
    #[builder(default = default_region(), into)]
    pub region: String,
    /// Failure domain of the node.
    #[serde(default = "default_domain")]
    #[builder(default = default_domain(), into)]
    pub domain: String,
    /// Stand-in target beside the node; none when absent.
    #[serde(default)]
    pub target: Option<Target>,
}

/// Description of a stand-in target. Its addresses are allocated when it starts.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service of which the stand-in is a target.
    #[builder(into)]
    pub service: String,
    /// Number of requests that run concurrently.
    #[serde(default = "default_slots")]
    #[builder(default = default_slots())]
    pub slots: usize,
    /// Maximum number of concurrent connections.
    #[serde(default = "default_connections")]
    #[builder(default = default_connections())]
    pub connections: usize,
    /// Service time of a request, in milliseconds.
    #[serde(default)]
    #[builder(default)]
    pub service_ms: distribution::Distribution,
    /// Initial behaviour.
    #[serde(default)]
    #[builder(default)]
    pub behaviour: behaviour::Behaviour,
    /// Sub-calls to other services.
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
    /// Descriptions of the nodes.
    pub nodes: Vec<Node>,
    /// Whether the nodes apply overload protection, rate limits, retry budgets and
    /// claims.
    #[serde(default = "default_decisions")]
    #[builder(default = default_decisions())]
    pub decisions: bool,
    /// Whether fault proxies are put in front of the peer ports of nodes and the member
    /// ports of control processes.
    #[serde(default)]
    #[builder(default)]
    pub proxies: bool,
    /// Seed of the first node's stand-in; each further node uses the next number.
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
