//! Work is cancelled when its caller closes the connection.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::standin::calls;
use masticarch_testsuite::raw_target::{Event, RawTarget, Script};
use masticarch_testsuite::setup;
use masticarch_wire::header;
use rstest::rstest;

const SEED: u64 = 101;
/// Longest wait for an event at the target. It is shorter than the timeout of the
/// routes (2 s), after which the work would end without a cancellation.
const EVENT_TIMEOUT: Duration = Duration::from_secs(1);

struct Fixture {
    fleet: fleet::Fleet,
    key: String,
    editions: RawTarget,
}

/// An entry node, a node with a target for orders, which calls editions, and a node
/// with a target for editions, which never answers.
async fn fixture() -> Fixture {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("collectors", 100.0, 100);
    objects.route("orders", "normal", &["collectors"]);
    objects.route("editions", "normal", &["collectors"]);
    let mut orders = setup::target("orders", 1.0);
    orders.calls = calls::Plan {
        paths: vec!["/editions".to_owned()],
        ..calls::Plan::default()
    };
    let nodes = vec![
        setup::bare_node(),
        setup::node_with(orders),
        setup::bare_node(),
    ];
    let spec = fleet::Spec::builder().nodes(nodes).build();
    let fleet = setup::fleet(&spec, objects).await;
    let editions = RawTarget::start(&fleet.nodes[2], &Script::Hold);
    editions.announce(&fleet.nodes[2], "editions");
    // Time for every node to learn of the target, which is announced last.
    monoio::time::sleep(Duration::from_secs(1)).await;
    Fixture {
        fleet,
        key,
        editions,
    }
}

/// Sends a request and leaves the answer unread.
fn send(fixture: &Fixture, path: &str) -> TcpStream {
    let node = fixture.fleet.callers()[0];
    let mut stream = TcpStream::connect(node).unwrap();
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: masticarch\r\n{}: {}\r\n\r\n",
        header::KEY,
        fixture.key
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

// Guards against work that goes on until its deadline, and holds a slot of the
// target, after its caller has closed the connection.
#[rstest]
#[case::through_two_nodes("/editions")]
#[case::behind_a_sub_call("/orders")]
fn target_sees_its_connection_close(#[case] path: &str) {
    let (running, closed) = runtime::run(async {
        let fixture = fixture().await;

        let stream = send(&fixture, path);
        let running = fixture.editions.wait_for(Event::Request, EVENT_TIMEOUT);
        drop(stream);
        (
            running,
            fixture.editions.wait_for(Event::Closed, EVENT_TIMEOUT),
        )
    })
    .unwrap();

    assert!(running);
    assert!(closed);
}
