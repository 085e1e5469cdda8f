//! Requests that crash their targets, beside random faults on the fleet.
//!
//! `MASTICARCH_SOAK_SEEDS=100..150` chooses the seeds; without it a few fixed ones run.

use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan, record};
use masticarch_model::code;
use masticarch_testsuite::setup;
use masticarch_testsuite::soak::{injector, mode, run, seeds};

/// Seeds that run without a choice.
const DEFAULT_SEEDS: [u64; 3] = [0, 1, 2];
/// Time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(12);
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(16);
/// Index of the load of crashing requests in the plan.
const CRASHING: usize = 0;
/// Nodes beside a target of `scripts`.
const SCRIPTS_NODES: std::ops::Range<usize> = 2..5;
/// Runs of the crashing request until it is known, and those that are under way then.
const MAX_CRASHING_RUNS: u64 = 6;
/// Further runs for each outage of a node that knew the request.
const CRASHING_RUNS_PER_OUTAGE: u64 = 3;

/// A run with the checks of this soak.
struct Soak(run::Run);

/// Two entry nodes without a target, three targets of `scripts`, which a crashing request
/// crashes, and two of `orders`, whose requests run once at most.
async fn fixture(seed: u64) -> (fleet::Fleet, generator::Plan) {
    let mut objects = objects::Objects::new(seed, &["normal"]);
    let key = objects.team("collectors", 1_000.0, 1_000);
    objects
        .route("orders", "normal", &["collectors"])
        .idempotent = false;
    objects.route("scripts", "normal", &["collectors"]);
    let scripts = setup::node_with(setup::target("scripts", 25.0));
    let orders = setup::node_with(setup::target("orders", 40.0));
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![
            setup::bare_node(),
            setup::bare_node(),
            scripts.clone(),
            scripts.clone(),
            scripts,
            orders.clone(),
            orders,
        ])
        .seed(seed)
        .build();
    let fleet = setup::fleet(&spec, objects).await;
    let plan = generator::Plan::builder()
        .entries(fleet.callers())
        .seed(seed)
        .phases(vec![plan::Phase {
            duration_ms: u64::try_from(LOAD_TIME.as_millis()).unwrap(),
            factor: 1.0,
        }])
        .teams(vec![
            copies("/scripts/crash", 5.0, &key),
            copies("/scripts/popular", 30.0, &key),
            run::load("/scripts/other", 30.0, &key),
            run::load("/orders/1", 30.0, &key),
        ])
        .build();
    (fleet, plan)
}

/// Copies of one request per second.
fn copies(path: &str, rate: f64, key: &str) -> generator::Team {
    let mut load = run::load(path, rate, key);
    load.copies = true;
    load
}

async fn soak(seed: u64) -> Soak {
    let (fleet, plan) = fixture(seed).await;
    let injector = injector::Injector::new(seed, mode::Mode::Crashes);
    Soak(run::Run::collect(fleet, plan, injector, FAULT_TIME).await)
}

impl Soak {
    /// Crashes that were not injected.
    fn uninjected_crashes(&self) -> u64 {
        let crashes = self.0.executions.iter();
        let crashes: u64 = crashes.map(|executions| executions.crashes).sum();
        crashes.saturating_sub(self.0.history.crashes)
    }

    /// What breaks a guarantee, one line each.
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let outages = self.0.history.outages.iter();
        let outages = outages.filter(|(node, _)| SCRIPTS_NODES.contains(node));
        let outages = u64::try_from(outages.count()).unwrap();
        let allowed = MAX_CRASHING_RUNS + CRASHING_RUNS_PER_OUTAGE * outages;
        let crashes = self.uninjected_crashes();
        if crashes > allowed {
            found.push(format!("crashing: {crashes} crashes, allowed {allowed}"));
        }
        for record in &self.0.report.records {
            let quarantined = code_of(record) == Some(code::Code::Quarantined.number());
            if quarantined && record.id.team != CRASHING {
                found.push(format!("harmless: {record:?}"));
            }
            if record.outcome == record::Outcome::Mismatched {
                found.push(format!("answer: {record:?}"));
            }
        }
        found
    }
}

fn code_of(record: &record::Record) -> Option<u16> {
    match record.outcome {
        record::Outcome::Answered { code, .. } => code,
        _ => None,
    }
}

// Guards against a request that ends targets again and again, and against harmless ones
// that are refused for it, while nodes, targets and control processes fail.
#[test]
fn crashing_requests_are_contained_under_random_faults() {
    for seed in seeds::chosen(&DEFAULT_SEEDS) {
        let soak = runtime::run(soak(seed)).unwrap();

        let violations = soak.violations();

        let harmless = soak
            .0
            .report
            .requests()
            .filter(|one| one.id.team != CRASHING);
        let (mut served, mut total) = (0, 0);
        for request in harmless {
            total += 1;
            served += u32::from(request.is_served());
        }
        let crashes = soak.uninjected_crashes();
        println!("seed {seed}: {crashes} crashes, {served} of {total} harmless requests served");
        let steps = soak.0.history.steps.join("\n");
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:#?}\n{steps}"
        );
        assert!(
            2 * served > total,
            "seed {seed}: {served} of {total}\n{steps}"
        );
    }
}
