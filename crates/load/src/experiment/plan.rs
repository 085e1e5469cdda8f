//! Plan of an experiment, as its YAML file states it.

use serde::{Deserialize, Serialize};

use super::{action, measure, objects};
use crate::fleet;
use crate::generator::{plan, team};

/// Factor on all times in a long run.
const LONG_RUN_FACTOR: u64 = 5;

/// A group of identical nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of nodes in the group.
    #[serde(default = "one")]
    pub count: usize,
    /// Description of each node.
    pub node: fleet::spec::Node,
}

/// The fleet of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of control processes.
    #[serde(default = "one")]
    pub controls: usize,
    /// Groups of nodes; nodes are numbered from 0 across all groups.
    pub groups: Vec<Group>,
    /// Whether connections between the processes pass through fault proxies.
    #[serde(default)]
    pub proxies: bool,
}

/// A client and its load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Team whose key the client presents; without a team it presents none.
    #[serde(default)]
    pub team: Option<String>,
    /// Load that the client sends; the entries of the load are numbers of nodes.
    pub load: team::Team,
}

/// What the system is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// The same nodes, without overload protection, rate limits, retry budgets and
    /// claims.
    DecisionsOff,
    /// The targets alone: clients call them directly, without nodes in between.
    Direct,
    /// The same nodes, without the filler objects in the configuration.
    WithoutFiller,
}

/// Plan of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of the experiment in the table of bounds.
    pub experiment: u32,
    /// What the experiment shows, in one line.
    pub title: String,
    /// Seed of keys, arrivals, service times and failures.
    pub seed: u64,
    /// What the system is compared with.
    pub baseline: Baseline,
    /// Fleet that is started for each run.
    pub fleet: Fleet,
    /// Objects of the configuration.
    pub objects: objects::Objects,
    /// Phases of the load, one after the other.
    pub phases: Vec<plan::Phase>,
    /// Timeout of one attempt of a request.
    pub timeout_ms: u64,
    /// Clients that send load.
    pub clients: Vec<Client>,
    /// Faults and repairs, ordered by their time.
    #[serde(default)]
    pub actions: Vec<action::Timed>,
    /// Measures, each with a bound on the value measured for the system.
    pub measures: Vec<measure::Criterion>,
}

const fn one() -> usize {
    1
}

impl Plan {
    /// Multiplies the times of phases, actions and measures by the factor of a
    /// long run.
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

    /// Description of the fleet. Without `decisions`, its nodes apply no overload
    /// protection, rate limits, retry budgets or claims.
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
