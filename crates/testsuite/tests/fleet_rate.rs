//! A team's rate limit holds over all nodes together.

use std::time::Duration;

use futures::future;
use masticarch_kernel::runtime;
use masticarch_load::experiment::action::{Action, Process};
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan, rate_limit};
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 51;
const RATE: f64 = 100.0;
const BURST: u32 = 20;
const LOAD_MS: u64 = 4_000;
/// Time from the start of the load to the fault.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);
/// Time for the nodes to get leases on the team's rate.
const LEASE_DELAY: Duration = Duration::from_secs(1);

/// Three control processes, and three nodes with a target each.
async fn fixture() -> (fleet::Fleet, String) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", RATE, BURST);
    objects.route("guiones", "normal", &["arica"]);
    let node = setup::node_with(setup::target("guiones", 2.0));
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![node.clone(), node.clone(), node])
        .build();
    let fleet = setup::fleet(&spec, objects).await;
    monoio::time::sleep(LEASE_DELAY).await;
    (fleet, key)
}

/// Requests at twice the team's rate, sent to the given nodes in turn.
fn load(fleet: &fleet::Fleet, key: String, entries: &[usize]) -> generator::Plan {
    let mut team = generator::Team::builder()
        .name("arica")
        .path("/guiones")
        .rate(2.0 * RATE)
        .entries(entries.to_vec())
        .build();
    team.key = Some(key);
    let phase = plan::Phase {
        duration_ms: LOAD_MS,
        factor: 1.0,
    };
    generator::Plan::builder()
        .entries(fleet.callers())
        .seed(SEED)
        .phases(vec![phase])
        .teams(vec![team])
        .build()
}

/// Injects the fault, if any, after [`FAULT_DELAY`].
async fn apply(fleet: &mut fleet::Fleet, fault: Option<Action>) {
    monoio::time::sleep(FAULT_DELAY).await;
    if let Some(action) = fault {
        action.apply(fleet).await.unwrap();
    }
}

// Guards against nodes that each admit the whole rate, against a new leader that
// grants leases on a part of the rate that is still leased, and against a rate that
// cannot be used while there is no leader.
#[rstest]
#[case::spread_evenly(&[0, 1, 2], None)]
#[case::on_one_node(&[0], None)]
#[case::leader_killed(&[0, 1, 2], Some(Action::Kill(Process::Leader)))]
#[case::leader_frozen(&[0, 1, 2], Some(Action::Freeze(Process::Leader)))]
#[case::node_killed(&[0, 1], Some(Action::Kill(Process::Node(2))))]
fn rate_holds_over_all_nodes(#[case] entries: &[usize], #[case] fault: Option<Action>) {
    let report = runtime::run(async {
        let (mut fleet, key) = fixture().await;
        let load = load(&fleet, key, entries);

        let (report, ()) = future::join(generator::run(load), apply(&mut fleet, fault)).await;
        report.unwrap()
    })
    .unwrap();

    let excess = rate_limit::window_excess(&report.records, RATE, f64::from(BURST));
    assert!(excess <= 0.0, "{excess}");
    // The first second is left out, while leases are still being adapted to the demand.
    let end = Duration::from_millis(LOAD_MS);
    let used_ratio = report.goodput(Duration::from_secs(1), end) / RATE;
    assert!(
        used_ratio >= 0.9,
        "{used_ratio}: {:?}",
        report.attempts_by_code(0)
    );
}
