//! Runs of nodes that may hold shares of team limits.

use masticarch_model::{catalog, command, incarnation, map, name};

/// What a command means for the runs that may hold shares.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// A run that may hold shares from now on.
    pub joined: Option<incarnation::Incarnation>,
    /// Runs that have ended, or hold nothing.
    pub ended: Vec<incarnation::Incarnation>,
}

/// Follows a command that has been applied. `before` is the run that the node of
/// the command had until then: its process has gone, because a VM runs one process
/// of a node at a time. A run is removed only once the owner has released it.
pub fn follow(
    command: &command::Command,
    before: Option<incarnation::Incarnation>,
    catalog: &catalog::Catalog,
) -> Step {
    match command {
        command::Command::Join(node) if is_at(catalog, &node.name, node.incarnation) => Step {
            joined: Some(node.incarnation),
            ended: before
                .filter(|earlier| *earlier != node.incarnation)
                .into_iter()
                .collect(),
        },
        command::Command::Leave(_, incarnation) => Step {
            joined: None,
            ended: vec![*incarnation],
        },
        command::Command::Expire(nodes) => Step {
            joined: None,
            ended: nodes.iter().map(|(_, incarnation)| *incarnation).collect(),
        },
        _ => Step::default(),
    }
}

/// The runs that may hold shares at this moment.
pub fn present(catalog: &catalog::Catalog) -> map::Set<incarnation::Incarnation> {
    let nodes = catalog.view().nodes.iter();
    nodes.map(|entry| entry.node.incarnation).collect()
}

fn is_at(catalog: &catalog::Catalog, name: &name::Name, run: incarnation::Incarnation) -> bool {
    let entry = catalog.node(name);
    entry.is_some_and(|entry| entry.node.incarnation == run)
}
