//! Incarnations of nodes that may hold shares of the teams' rate limits.

use masticarch_model::{catalog, command, incarnation, map, name};

/// Change of the set of holders by one command.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// An incarnation that may hold shares from now on.
    pub joined: Option<incarnation::Incarnation>,
    /// Incarnations that have ended or hold no share.
    pub ended: Vec<incarnation::Incarnation>,
}

/// The change of holders by a command that has been applied. `before` is the
/// incarnation that a joining node had until then. Its process has ended, because a
/// VM runs one process of a node at a time. A silent incarnation is removed only
/// after its shares have been released.
pub fn change(
    command: &command::Command,
    before: Option<incarnation::Incarnation>,
    catalog: &catalog::Catalog,
) -> Change {
    match command {
        command::Command::Join(node) if has_joined(catalog, &node.name, node.incarnation) => {
            Change {
                joined: Some(node.incarnation),
                ended: before
                    .filter(|earlier| *earlier != node.incarnation)
                    .into_iter()
                    .collect(),
            }
        }
        command::Command::Leave(_, incarnation) => Change {
            joined: None,
            ended: vec![*incarnation],
        },
        command::Command::Expire(nodes) => Change {
            joined: None,
            ended: nodes.iter().map(|(_, incarnation)| *incarnation).collect(),
        },
        _ => Change::default(),
    }
}

/// All incarnations that may hold shares now.
pub fn current(catalog: &catalog::Catalog) -> map::Set<incarnation::Incarnation> {
    let nodes = catalog.view().nodes.iter();
    nodes.map(|entry| entry.node.incarnation).collect()
}

fn has_joined(
    catalog: &catalog::Catalog,
    name: &name::Name,
    incarnation: incarnation::Incarnation,
) -> bool {
    let entry = catalog.node(name);
    entry.is_some_and(|entry| entry.node.incarnation == incarnation)
}
