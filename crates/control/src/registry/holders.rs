//! Runs of nodes that may hold shares of team limits.

use std::collections::VecDeque;
use std::time::Instant;

use masticarch_model::{catalog, command, incarnation, map, name};
use masticarch_policy::share::lease;

/// What a command means for the runs that may hold shares.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// A run that may hold shares from now on.
    pub joined: Option<incarnation::Incarnation>,
    /// Runs that have ended.
    pub ended: Vec<incarnation::Incarnation>,
}

/// Runs of nodes that were removed although they may still run: their leases
/// end by themselves.
#[derive(Debug, Default)]
pub struct Holders {
    removed: VecDeque<(Instant, name::Name, incarnation::Incarnation)>,
}

impl Holders {
    /// Follows a command that has been applied. `before` is the run that the
    /// node of the command had until then.
    pub fn follow(
        &mut self,
        command: &command::Command,
        before: Option<incarnation::Incarnation>,
        catalog: &catalog::Catalog,
        now: Instant,
    ) -> Step {
        match command {
            command::Command::Join(node) if is_at(catalog, &node.name, node.incarnation) => Step {
                joined: Some(node.incarnation),
                ended: self.replaced(&node.name, node.incarnation, before),
            },
            command::Command::Depart(_, incarnation) => Step {
                joined: None,
                ended: vec![*incarnation],
            },
            command::Command::Leave(nodes) => {
                let removed = nodes.iter().cloned();
                self.removed
                    .extend(removed.map(|(name, incarnation)| (now, name, incarnation)));
                Step::default()
            }
            _ => Step::default(),
        }
    }

    /// The earlier runs of a node. Their processes have gone, because a VM runs
    /// one process of a node at a time.
    fn replaced(
        &mut self,
        name: &name::Name,
        run: incarnation::Incarnation,
        before: Option<incarnation::Incarnation>,
    ) -> Vec<incarnation::Incarnation> {
        let mut ended: Vec<_> = before.into_iter().collect();
        self.removed.retain(|(_, removed, incarnation)| {
            let replaced = removed == name;
            if replaced {
                ended.push(*incarnation);
            }
            !replaced
        });
        ended.retain(|earlier| *earlier != run);
        ended
    }

    /// The runs that may hold shares at this moment.
    pub fn present(
        &mut self,
        catalog: &catalog::Catalog,
        now: Instant,
    ) -> map::Set<incarnation::Incarnation> {
        self.removed
            .retain(|(at, ..)| now.saturating_duration_since(*at) <= lease::COUNTED);
        let removed = self.removed.iter().map(|(_, _, incarnation)| *incarnation);
        let present = catalog.view().nodes.iter();
        let present = present.map(|entry| entry.node.incarnation);
        present.chain(removed).collect()
    }
}

fn is_at(catalog: &catalog::Catalog, name: &name::Name, run: incarnation::Incarnation) -> bool {
    let entry = catalog.node(name);
    entry.is_some_and(|entry| entry.node.incarnation == run)
}
