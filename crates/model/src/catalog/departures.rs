//! Runs of targets that are leaving or gone.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{map, name, run, target};

/// Most nodes whose departures are kept; the ones recorded first are dropped. A late
/// announcement arrives seconds after a departure, and in that time a fleet at the
/// design target has fewer.
const MAX_NODES: usize = 20_000;

/// The last run of each service at each node that is leaving or gone. They outlast the
/// node's process, which forgets them when it restarts: an announcement from before a
/// departure may arrive after it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Departures {
    runs: map::Map<name::Name, Vec<run::Run>>,
    /// The nodes in `runs`, the one recorded first at the front.
    order: VecDeque<name::Name>,
}

impl Departures {
    /// Records runs at a node that are leaving or gone.
    pub fn record(&mut self, node: name::Name, departed: Vec<run::Run>) {
        if !self.runs.contains_key(&node) {
            self.order.push_back(node.clone());
        }
        let known = self.runs.entry(node).or_default();
        for run in departed {
            match known.iter_mut().find(|known| known.service == run.service) {
                Some(known) if known.order() < run.order() => *known = run,
                Some(_) => {}
                None => known.push(run),
            }
        }
        if self.order.len() > MAX_NODES
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Whether a run at a node has departed, or ended before one that has. One that
    /// announces later that it serves again has not.
    pub fn contains(&self, node: &name::Name, run: &run::Run) -> bool {
        let known = self.runs.get(node).into_iter().flatten();
        known
            .filter(|known| known.service == run.service)
            .any(|known| run.order() <= known.order())
    }

    /// Marks the targets of departed runs as draining. `runs` are those of the targets
    /// that identify them.
    pub fn mark(&self, node: &name::Name, targets: &mut [target::Target], runs: &[run::Run]) {
        for target in targets {
            let mut runs = runs.iter().filter(|run| run.service == target.service);
            if runs.any(|run| self.contains(node, run)) {
                target.state = target::State::Draining;
            }
        }
    }
}
