//! The file of an experiment.

use serde::{Deserialize, Serialize};

use super::{action, measure, objects};
use crate::fleet;
use crate::generator::{plan, team};

/// Factor on all times of a long run.
const LONG_RUN_FACTOR: u64 = 5;

/// Equal nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many there are.
    #[serde(default = "one")]
    pub count: usize,
    /// What each of them is.
    pub node: fleet::spec::Node,
}

/// The fleet of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of control processes.
    #[serde(default = "one")]
    pub controls: usize,
    /// Nodes, numbered through all groups from 0.
    pub groups: Vec<Group>,
    /// Whether fault proxies stand between the processes.
    #[serde(default)]
    pub proxies: bool,
}

/// The load of one client.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Team whose key it presents; no key without one.
    #[serde(default)]
    pub team: Option<String>,
    /// What it sends. Entries are numbers of nodes.
    pub load: team::Team,
}

/// What the system is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// The same nodes with masticarch's decisions switched off.
    DecisionsOff,
    /// The targets, called directly.
    Direct,
    /// The same nodes without the objects that only fill the configuration.
    WithoutFiller,
}

/// The file of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number in the table of bounds.
    pub experiment: u32,
    /// One line on what it shows.
    pub title: String,
    /// Seed of keys, arrivals, service times and failures.
    pub seed: u64,
    /// What the system is compared with.
    pub baseline: Baseline,
    /// The fleet.
    pub fleet: Fleet,
    /// Operators' objects.
    pub objects: objects::Objects,
    /// Spans of time.
    pub phases: Vec<plan::Phase>,
    /// Longest wait of a client for an answer.
    pub timeout_ms: u64,
    /// The clients.
    pub clients: Vec<Client>,
    /// Faults and repairs.
    #[serde(default)]
    pub actions: Vec<action::Timed>,
    /// What is measured, with the bounds of the system.
    pub measures: Vec<measure::Criterion>,
}

const fn one() -> usize {
    1
}

impl Plan {
    /// Makes all times of the run longer.
    pub fn lengthen(&mut self) {
        for phase in &mut self.phases {
            phase.duration_ms *= LONG_RUN_FACTOR;
        }
        for action in &mut self.actions {
            action.at_ms *= LONG_RUN_FACTOR;
        }
        for criterion in &mut self.measures {
            criterion.measure.lengthen(LONG_RUN_FACTOR);
        }
    }

    /// The description of its fleet.
    #[must_use]
    pub fn spec(&self, decisions: bool) -> fleet::Spec {
        let groups = self.fleet.groups.iter();
        let nodes = groups.flat_map(|group| std::iter::repeat_n(group.node.clone(), group.count));
        fleet::Spec::builder()
            .controls(self.fleet.controls)
            .nodes(nodes.collect())
            .proxies(self.fleet.proxies)
            .decisions(decisions)
            .seed(self.seed)
            .build()
    }
}
