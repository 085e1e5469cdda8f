//! Nodes and targets that leave, drain, restart or flap.

use std::time::{Duration, Instant};

use http::StatusCode;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_testsuite::{arranged, caller};
use masticarch_wire::message::{operator, status};

/// Time without contact after which a node is removed.
const SILENCE: Duration = Duration::from_secs(3);
/// Time for the commit and for a busy machine.
const COMMIT: Duration = Duration::from_secs(1);
/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Number of the node with the target.
const LEAVING: usize = 1;

/// Three control processes and two nodes; the target of an open route is beside
/// the second.
async fn fixture(seed: u64) -> fleet::Fleet {
    println!("seed {seed}");
    let mut objects = objects::Objects::new(seed, &["normal"]);
    objects.route("guiones", "normal", &[]);
    let target = fleet::spec::Target::builder().service("guiones").build();
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![arranged::bare_node(), arranged::node_with(target)])
        .seed(seed)
        .build();
    arranged::arrange(&spec, objects).await
}

async fn find(fleet: &fleet::Fleet) -> Option<status::Node> {
    let name = fleet.node_names()[LEAVING].clone();
    let status = fleet.operator.status().await.unwrap();
    status.nodes.into_iter().find(|node| node.name == name)
}

/// Waits until a request through the other node is refused for a reason, and
/// returns the time that it took.
async fn refused_as(fleet: &fleet::Fleet, reason: &str) -> Duration {
    let started = Instant::now();
    let caller = caller::Caller::anonymous();
    loop {
        let answer = caller.post(fleet.callers()[0], "/guiones", "script").await;
        if caller::refusal(&answer).reason == reason {
            return started.elapsed();
        }
        assert!(started.elapsed() < arranged::LIMIT, "never {reason}");
        monoio::time::sleep(PAUSE).await;
    }
}

// Guards against work that is sent to the target of a node that is gone.
#[test]
fn killed_node_leaves_the_tables_of_the_others() {
    let took = runtime::run(async {
        let mut fleet = fixture(501).await;

        fleet.nodes[LEAVING].process.kill().unwrap();
        refused_as(&fleet, "no_target").await
    })
    .unwrap();

    println!("left after {took:?}");
    assert!(took < SILENCE + COMMIT, "{took:?}");
}

// Guards against new work at a target that drains.
#[test]
fn draining_target_gets_no_new_work() {
    let (took, before, after) = runtime::run(async {
        let fleet = fixture(502).await;
        let target = fleet.nodes[LEAVING].target.as_ref().unwrap();

        let drain = operator::Request::Drain(fleet.node_names()[LEAVING].clone());
        fleet.operator.call(&drain).await.unwrap();
        let took = refused_as(&fleet, "no_target").await;
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
    assert!(took < SILENCE + COMMIT, "{took:?}");
    assert_eq!(before, after);
}

// Guards against a restarted process that is taken for the one before it.
#[test]
fn replaced_process_is_a_new_incarnation() {
    let (before, after, served) = runtime::run(async {
        let mut fleet = fixture(503).await;
        let before = find(&fleet).await.unwrap().incarnation;

        fleet.nodes[LEAVING].process.restart().unwrap();
        fleet.wait_ready(arranged::LIMIT).await.unwrap();
        let started = Instant::now();
        let known = loop {
            let found = find(&fleet).await;
            let replaced =
                found.filter(|node| node.incarnation != before && !node.targets.is_empty());
            if let Some(node) = replaced {
                break node.incarnation;
            }
            assert!(started.elapsed() < arranged::LIMIT, "never replaced");
            monoio::time::sleep(PAUSE).await;
        };
        let caller = caller::Caller::anonymous();
        let answer = caller.post(fleet.callers()[1], "/guiones", "script").await;
        (before, known, answer.status())
    })
    .unwrap();

    assert_ne!(before, after);
    assert_eq!(served, StatusCode::OK);
}

// Guards against a process that restarts all the time and makes the whole
// fleet take each of its runs. The design allows one join in 2 s.
#[test]
fn flapping_node_joins_at_most_every_two_seconds() {
    const RESTARTS: u32 = 16;
    const APART: Duration = Duration::from_millis(500);
    let (incarnations, took) = runtime::run(async {
        let mut fleet = fixture(504).await;
        let started = Instant::now();

        let mut incarnations = Vec::new();
        for _ in 0..RESTARTS {
            fleet.nodes[LEAVING].process.restart().unwrap();
            let restarted = Instant::now();
            while restarted.elapsed() < APART {
                incarnations.extend(find(&fleet).await.map(|node| node.incarnation));
                monoio::time::sleep(PAUSE).await;
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
