//! A graceful shutdown loses no request.

use std::time::Duration;

use futures::future;
use http::StatusCode;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan, record};
use masticarch_load::standin::calls;
use masticarch_testsuite::caller::Caller;
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 111;
/// Requests in flight when the node is asked to stop.
const REQUESTS: usize = 20;
/// Service time of a request for orders, before its sub-call.
const WORK_MS: f64 = 800.0;
/// Time from the start of the requests to the signal that stops the node; the
/// sub-calls begin later.
const STOP_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the node to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry node, a node with a target for orders, which calls editions after its
/// own work, and two nodes with a target for editions.
async fn fixture() -> (fleet::Fleet, String) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("collectors", 1_000.0, 1_000);
    objects.route("orders", "normal", &["collectors"]).retries = 0;
    objects.route("editions", "normal", &["collectors"]).retries = 0;
    let mut orders = setup::target("orders", WORK_MS);
    orders.calls = calls::Plan {
        paths: vec!["/editions".to_owned()],
        order: calls::Order::After,
        ..calls::Plan::default()
    };
    let mut editions = setup::target("editions", 100.0);
    // The initial concurrency limit of a target is a quarter of its slots; this many
    // slots let it admit all requests at once.
    orders.slots = 4 * REQUESTS;
    editions.slots = 4 * REQUESTS;
    let nodes = vec![
        setup::bare_node(),
        setup::node_with(orders),
        setup::node_with(editions.clone()),
        setup::node_with(editions),
    ];
    let spec = fleet::Spec::builder().nodes(nodes).build();
    (setup::fleet(&spec, objects).await, key)
}

/// A constant load on editions through the entry node.
fn load(fleet: &fleet::Fleet, key: String) -> generator::Plan {
    let mut team = generator::Team::builder()
        .name("collectors")
        .path("/editions")
        .rate(50.0)
        .entries(vec![0])
        .build();
    team.key = Some(key);
    let phase = plan::Phase {
        duration_ms: 3_000,
        factor: 1.0,
    };
    generator::Plan::builder()
        .entries(fleet.callers())
        .seed(SEED)
        .phases(vec![phase])
        .teams(vec![team])
        .build()
}

/// Stops a node by a signal after [`STOP_DELAY`]; returns whether it exits with
/// success.
async fn terminate(node: &mut fleet::handle::Node) -> bool {
    monoio::time::sleep(STOP_DELAY).await;
    node.process.terminate().unwrap();
    let status = node.process.wait(STOP_TIMEOUT).await.unwrap();
    status.is_some_and(|status| status.success())
}

// Guards against a node that stops, or refuses sub-calls of running requests, while
// requests that it accepted still run. Routes have no retries, so that no retry
// hides a lost attempt.
#[rstest]
#[case::entry_node(0)]
#[case::target_node(1)]
#[case::target_node_of_the_sub_calls(2)]
fn requests_in_flight_end_whole(#[case] node: usize) {
    let (answers, success) = runtime::run(async {
        let (mut fleet, key) = fixture().await;
        let caller = Caller::with_key(&key);
        let entry = fleet.callers()[0];

        let posts = (0..REQUESTS).map(|_| caller.send(entry, "/orders", "order", &[]));
        let stop = terminate(&mut fleet.nodes[node]);
        future::join(future::join_all(posts), stop).await
    })
    .unwrap();

    for answer in answers {
        let answer = answer.expect("the answer is complete");
        assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body().as_ref(), b"order");
    }
    assert!(success);
}

// Guards against requests that are lost between the moment at which a node begins to
// leave and the moment at which the other nodes know of it.
#[test]
fn target_node_leaves_under_load_without_a_loss() {
    let (report, success) = runtime::run(async {
        let (mut fleet, key) = fixture().await;
        let load = load(&fleet, key);

        let stop = terminate(&mut fleet.nodes[2]);
        let (report, success) = future::join(generator::run(load), stop).await;
        (report.unwrap(), success)
    })
    .unwrap();

    let lost: Vec<_> = report
        .requests()
        .filter(|record| !record::Record::is_served(record))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(report.requests().count() > 100);
    assert!(success);
}
