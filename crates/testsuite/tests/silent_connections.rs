//! Broken connections between nodes are replaced, also those that fail silently.

use std::time::Duration;

use futures::future;
use masticarch_kernel::runtime;
use masticarch_load::experiment::action::Action;
use masticarch_load::experiment::{measure, trial};
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan};
use masticarch_load::proxy::fault::Cut;
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 81;
const LOAD_MS: u64 = 5_000;
/// Time from the start of the load to the fault.
const FAULT_MS: u64 = 1_000;
/// Bound of the design on the time from the fault to recovery.
const MAX_RECOVERY_SECONDS: f64 = 3.0;

/// An entry node and two nodes with a target, whose peer ports are behind fault
/// proxies.
async fn fixture() -> (fleet::Fleet, String) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", 10_000.0, 10_000);
    objects.route("guiones", "normal", &["arica"]);
    let node = setup::node_with(setup::target("guiones", 5.0));
    let spec = fleet::Spec::builder()
        .nodes(vec![setup::bare_node(), node.clone(), node])
        .proxies(true)
        .build();
    (setup::fleet(&spec, objects).await, key)
}

fn load(fleet: &fleet::Fleet, key: String) -> generator::Plan {
    let mut team = generator::Team::builder()
        .name("arica")
        .path("/guiones")
        .rate(100.0)
        .entries(vec![0])
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
        .timeout_ms(2_500)
        .build()
}

/// Breaks the connections between the nodes [`FAULT_MS`] after the start of the load.
async fn cut(fleet: &mut fleet::Fleet, cut: Cut) {
    monoio::time::sleep(Duration::from_millis(FAULT_MS)).await;
    Action::CutPeers(cut).apply(fleet).await.unwrap();
}

// Guards against a pool that keeps handing out dead connections although new ones
// would work.
#[rstest]
#[case::silent(Cut::Blackhole)]
#[case::reset(Cut::Reset)]
#[case::half_closed(Cut::HalfClose)]
fn old_connections_are_replaced(#[case] fault: Cut) {
    let trial = runtime::run(async {
        let (mut fleet, key) = fixture().await;
        let load = load(&fleet, key);

        let (report, ()) = future::join(generator::run(load), cut(&mut fleet, fault)).await;
        trial::Trial {
            report: report.unwrap(),
            executions: std::collections::BTreeMap::new(),
            node_seconds: 0.0,
        }
    })
    .unwrap();

    let recovery = measure::Measure::SuccessRecovery {
        from_ms: FAULT_MS,
        share: 0.99,
    };
    let seconds = recovery.value(&trial, &trial);
    assert!(seconds <= MAX_RECOVERY_SECONDS, "{seconds} s");
}
