//! Measures the time to find the home node of a request id. Prints a line with one JSON
//! object for each size of the fleet.

use std::hint::black_box;
use std::time::Instant;

use masticarch_model::{directory, incarnation, node, place, view};
use masticarch_node::sync::home;

/// Number of ids that are looked up for each size.
const IDS: u32 = 1_000;

fn directory(nodes: u32) -> directory::Directory {
    let entry = |index: u32| view::Entry {
        node: node::Node {
            name: format!("norte-a-{index:05}").as_str().into(),
            incarnation: incarnation::Incarnation(index.into()),
            place: place::Place {
                region: "norte".into(),
                domain: "norte-a".into(),
            },
            peer: ([127, 0, 0, 1], 7001).into(),
        },
        targets: Vec::new(),
    };
    directory::Directory::new(&view::View {
        nodes: (0..nodes).map(entry).collect(),
        ..view::View::default()
    })
}

fn main() {
    for nodes in [94, 940, 9_400] {
        let homes = home::Homes::new(&directory(nodes));
        let begun = Instant::now();
        for id in 0..IDS {
            black_box(homes.of(&format!("arica/{id:032x}")));
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(IDS);
        println!(r#"{{"nodes":{nodes},"measured":"find a home node","microseconds":{each:.2}}}"#);
    }
}
