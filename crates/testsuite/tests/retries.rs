//! Retries of a request are bounded over its whole call tree.

use std::collections::BTreeMap;

use masticarch_kernel::runtime;
use masticarch_load::experiment::{measure, trial};
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan, team};
use masticarch_load::standin::{behaviour, calls};
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 61;
/// Retry credit of a route in the fixtures.
const RETRY_CREDIT: f64 = 3.0;
const REQUESTS_PER_SECOND: f64 = 20.0;
const LOAD_MS: u64 = 3_000;

/// A node whose target is one hop of the chain: it calls the next hop `fan_out` times
/// in parallel, and then fails a share of its requests.
fn hop(number: usize, fan_out: usize, failure_share: f64) -> fleet::spec::Node {
    let next = format!("/hop-{}", number + 1);
    let plan = calls::Plan {
        paths: vec![next; fan_out],
        parallel: true,
        ..calls::Plan::default()
    };
    let behaviour = behaviour::Behaviour {
        failure_share,
        ..behaviour::Behaviour::default()
    };
    let mut target = setup::target(&format!("hop-{number}"), 2.0);
    target.behaviour = behaviour;
    target.calls = plan;
    setup::node_with(target)
}

/// A chain in which each hop makes the given number of calls to the next one;
/// the last hop makes none.
async fn fixture(fan_outs: &[usize], failure_share: f64) -> (fleet::Fleet, String) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    for number in 0..=fan_outs.len() {
        objects.route(&format!("hop-{number}"), "normal", &["arica"]);
    }
    let hops = fan_outs.iter().chain([&0]).enumerate();
    let nodes = hops.map(|(number, fan_out)| hop(number, *fan_out, failure_share));
    let spec = fleet::Spec::builder()
        .nodes(nodes.collect())
        .seed(SEED)
        .build();
    (setup::fleet(&spec, objects).await, key)
}

/// Requests that their caller resends up to three times, each time through another
/// node.
fn load(fleet: &fleet::Fleet, key: String) -> generator::Plan {
    let resend = team::Resend {
        attempts: 3,
        backoff_ms: 50,
        elsewhere: true,
    };
    let mut team = generator::Team::builder()
        .name("arica")
        .path("/hop-0")
        .rate(REQUESTS_PER_SECOND)
        .request_id(true)
        .resend(resend)
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

async fn run(fan_outs: &[usize], failure_share: f64) -> trial::Trial {
    let (fleet, key) = fixture(fan_outs, failure_share).await;
    let report = generator::run(load(&fleet, key)).await.unwrap();
    let mut executions = BTreeMap::new();
    for target in fleet.nodes.iter().filter_map(|node| node.target.as_ref()) {
        let service = target.settings().service.as_str();
        let more = target.executions().await.unwrap();
        trial::Trial::add_executions(&mut executions, service, more);
    }
    trial::Trial {
        report,
        executions,
        node_seconds: 0.0,
    }
}

/// Executions of each hop in a call tree without failures.
fn normal(fan_outs: &[usize]) -> BTreeMap<String, u64> {
    let mut executions = 1;
    let mut normal = BTreeMap::from([("hop-0".to_owned(), executions)]);
    for (number, fan_out) in (1..).zip(fan_outs) {
        executions *= *fan_out as u64;
        normal.insert(format!("hop-{number}"), executions);
    }
    normal
}

// Guards against retries that multiply over the hops of a chain or over its
// branches, and against resends by the caller that renew the retry credit.
#[rstest]
#[case::chain_that_always_fails(&[1, 1, 1, 1], 1.0)]
#[case::chain_that_fails_half(&[1, 1, 1, 1], 0.5)]
#[case::branches_that_always_fail(&[2, 1, 2], 1.0)]
#[case::branches_that_fail_half(&[2, 1, 2], 0.5)]
fn extra_executions_are_bounded(#[case] fan_outs: &[usize], #[case] failure_share: f64) {
    let trial = runtime::run(run(fan_outs, failure_share)).unwrap();

    let normal = normal(fan_outs);
    let extra = measure::Measure::ExtraExecutions { normal }.value(&trial, &trial);
    assert!(extra <= RETRY_CREDIT, "{extra}");
    // Without extra executions the bound would hold trivially.
    assert!(extra >= 1.0, "{extra}");
}
