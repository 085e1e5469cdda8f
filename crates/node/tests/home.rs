//! Home nodes of request ids: every node finds the same one for an id.

use masticarch_model::{directory, incarnation, map, name, node, place, view};
use masticarch_node::sync::home;

const IDS: usize = 3_000;

fn directory(names: &[String]) -> directory::Directory {
    let entry = |name: &String| view::Entry {
        node: node::Node {
            name: name.as_str().into(),
            incarnation: incarnation::Incarnation(1),
            place: place::Place {
                region: "norte".into(),
                domain: "norte-a".into(),
            },
            peer: ([127, 0, 0, 1], 7001).into(),
        },
        targets: Vec::new(),
    };
    directory::Directory::new(&view::View {
        nodes: names.iter().map(entry).collect(),
        ..view::View::default()
    })
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("node-{index}")).collect()
}

/// The names of the homes of a fixed list of ids.
fn homes_of(names: &[String]) -> Vec<name::Name> {
    let directory = directory(names);
    let homes = home::Homes::new(&directory);
    let name = |id: usize| {
        let node = homes.of(&format!("arica/{id}")).unwrap();
        directory.nodes[node].name.clone()
    };
    (0..IDS).map(name).collect()
}

// Guards against two nodes that find different homes of one id, which then keep its
// credit separately, because they learned of the nodes in different orders.
#[test]
fn home_does_not_depend_on_the_order_of_nodes() {
    let mut reversed = names(12);
    reversed.reverse();

    let homes = homes_of(&names(12));

    assert_eq!(homes, homes_of(&reversed));
}

// Guards against the loss of a node that moves ids of other nodes as well.
#[test]
fn lost_node_moves_only_its_own_ids() {
    let before = homes_of(&names(12));

    let after = homes_of(&names(11));

    let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
    assert!(moved.into_iter().all(|(old, _)| old.as_str() == "node-11"));
}

// Guards against a hash that makes one node the home of most ids.
#[test]
fn ids_spread_over_all_nodes() {
    let mut counts = map::Map::<name::Name, usize>::default();

    for home in homes_of(&names(12)) {
        *counts.entry(home).or_default() += 1;
    }

    let even = IDS / 12;
    assert_eq!(counts.len(), 12);
    assert!(
        counts
            .values()
            .all(|count| (even / 2..even * 2).contains(count))
    );
}
