//! Runs of targets that are leaving or gone.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{map, name, renewal, run, target};

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

    /// Whether the departure of a run at a node, or of one that started later, is recorded.
    pub fn contains(&self, node: &name::Name, run: &run::Run) -> bool {
        let known = self.runs.get(node).into_iter().flatten();
        known
            .filter(|known| known.service == run.service)
            .any(|known| run.order() <= known.order())
    }

    /// Whether an announcement at a node is of a run that has departed. A run that started
    /// earlier than a departed one has ended, unless it is known to be alive: the clock may
    /// have been stepped back between the two.
    fn is_over(&self, node: &name::Name, renewal: &renewal::Renewal) -> bool {
        let run = &renewal.run;
        let known = self.runs.get(node).into_iter().flatten();
        known
            .filter(|known| known.service == run.service && run.order() <= known.order())
            .any(|known| run.started_ms == known.started_ms || !renewal.is_alive())
    }

    /// Marks the targets of departed runs as draining. `renewals` are those of the targets
    /// that identify their runs.
    pub fn mark(
        &self,
        node: &name::Name,
        targets: &mut [target::Target],
        renewals: &[renewal::Renewal],
    ) {
        for target in targets {
            let mut renewals = renewals
                .iter()
                .filter(|renewal| renewal.run.service == target.service);
            if renewals.any(|renewal| self.is_over(node, renewal)) {
                target.state = target::State::Draining;
            }
        }
    }
}
