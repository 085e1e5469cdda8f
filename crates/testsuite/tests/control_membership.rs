//! Membership of nodes that are killed, drained, restarted once or restarted all the
//! time.

use std::time::{Duration, Instant};

use http::StatusCode;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_testsuite::{caller, setup};
use masticarch_wire::message::{operator, status};

/// Time without contact after which a node is removed.
const MEMBERSHIP_EXPIRY: Duration = Duration::from_secs(3);
/// Allowance for the commit and for a busy machine.
const COMMIT_SLACK: Duration = Duration::from_secs(1);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Index of the node with the target.
const TARGET_NODE: usize = 1;

/// Three control processes and two nodes; the second node has the target of an open
/// route.
async fn fixture(seed: u64) -> fleet::Fleet {
    println!("seed {seed}");
    let mut objects = objects::Objects::new(seed, &["normal"]);
    objects.route("guiones", "normal", &[]);
    let target = fleet::spec::Target::builder().service("guiones").build();
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![setup::bare_node(), setup::node_with(target)])
        .seed(seed)
        .build();
    setup::fleet(&spec, objects).await
}

/// Status of the node with the target; `None` when it is not a member.
async fn target_node_status(fleet: &fleet::Fleet) -> Option<status::Node> {
    let name = fleet.node_names()[TARGET_NODE].clone();
    let status = fleet.operator.status().await.unwrap();
    status.nodes.into_iter().find(|node| node.name == name)
}

/// Waits until a request through the node without a target is refused with a
/// reason, and returns how long that took.
async fn wait_refused(fleet: &fleet::Fleet, reason: &str) -> Duration {
    let started = Instant::now();
    let caller = caller::Caller::anonymous();
    loop {
        let answer = caller.post(fleet.callers()[0], "/guiones", "script").await;
        if caller::refusal(&answer).reason == reason {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < setup::CONVERGENCE_TIMEOUT,
            "never {reason}"
        );
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

// Guards against requests that are sent to the target of a node that was killed.
#[test]
fn killed_node_leaves_the_tables_of_the_others() {
    let took = runtime::run(async {
        let mut fleet = fixture(501).await;

        fleet.nodes[TARGET_NODE].process.kill().unwrap();
        wait_refused(&fleet, "no_target").await
    })
    .unwrap();

    println!("left after {took:?}");
    assert!(took < MEMBERSHIP_EXPIRY + COMMIT_SLACK, "{took:?}");
}

// Guards against new requests at a draining target.
#[test]
fn draining_target_gets_no_new_work() {
    let (took, before, after) = runtime::run(async {
        let fleet = fixture(502).await;
        let target = fleet.nodes[TARGET_NODE].target.as_ref().unwrap();

        let drain = operator::Request::Drain(fleet.node_names()[TARGET_NODE].clone());
        fleet.operator.call(&drain).await.unwrap();
        let took = wait_refused(&fleet, "no_target").await;
        let before = target.executions().await.unwrap().total;
        let caller = caller::Caller::anonymous();
        for node in fleet.callers() {
            let answer = caller.post(node, "/guiones", "script").await;
            assert_ne!(answer.status(), StatusCode::OK);
        }
        (took, before, target.executions().await.unwrap().total)
    })
    .unwrap();

    println!("drained after {took:?}");
    assert!(took < MEMBERSHIP_EXPIRY + COMMIT_SLACK, "{took:?}");
    assert_eq!(before, after);
}

// Guards against a restarted process that is treated as its predecessor.
#[test]
fn replaced_process_is_a_new_incarnation() {
    let (before, after, served) = runtime::run(async {
        let mut fleet = fixture(503).await;
        let before = target_node_status(&fleet).await.unwrap().incarnation;

        fleet.nodes[TARGET_NODE].process.restart().unwrap();
        fleet.wait_ready(setup::CONVERGENCE_TIMEOUT).await.unwrap();
        let started = Instant::now();
        let known = loop {
            let found = target_node_status(&fleet).await;
            let replaced =
                found.filter(|node| node.incarnation != before && !node.targets.is_empty());
            if let Some(node) = replaced {
                break node.incarnation;
            }
            assert!(
                started.elapsed() < setup::CONVERGENCE_TIMEOUT,
                "never replaced"
            );
            monoio::time::sleep(POLL_INTERVAL).await;
        };
        let caller = caller::Caller::anonymous();
        let answer = caller.post(fleet.callers()[1], "/guiones", "script").await;
        (before, known, answer.status())
    })
    .unwrap();

    assert_ne!(before, after);
    assert_eq!(served, StatusCode::OK);
}

// Guards against a process that restarts repeatedly and makes the whole fleet admit
// each incarnation. The design allows one join in 2 s.
#[test]
fn flapping_node_joins_at_most_every_two_seconds() {
    const RESTARTS: u32 = 16;
    const RESTART_INTERVAL: Duration = Duration::from_millis(500);
    let (incarnations, took) = runtime::run(async {
        let mut fleet = fixture(504).await;
        let started = Instant::now();

        let mut incarnations = Vec::new();
        for _ in 0..RESTARTS {
            fleet.nodes[TARGET_NODE].process.restart().unwrap();
            let restarted = Instant::now();
            while restarted.elapsed() < RESTART_INTERVAL {
                incarnations.extend(
                    target_node_status(&fleet)
                        .await
                        .map(|node| node.incarnation),
                );
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        incarnations.dedup();
        (incarnations.len(), started.elapsed())
    })
    .unwrap();

    println!("{incarnations} incarnations in {took:?}");
    let allowed = took.as_secs() / 2 + 2;
    assert!(incarnations as u64 <= allowed, "{incarnations} in {took:?}");
}
