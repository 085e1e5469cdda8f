//! Random faults on a fleet under load, and the guarantees that hold all the while.
//!
//! `MASTICARCH_SOAK_SEEDS=100..150` chooses the seeds; without it a few fixed ones run.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::generator::{self, plan, record};
use masticarch_testsuite::setup;
use masticarch_testsuite::soak::{injector, mode, run, sample, seeds, statement};

/// Seeds that run without a choice: the first of each mode, and two in which the node
/// beside a target restarts just after the target has stated that it leaves.
const DEFAULT_SEEDS: [u64; 4] = [0, 1, 32, 38];
/// Time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(12);
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(16);
/// Requests per second of each team.
const RATE: f64 = 60.0;
/// Window of the check of rate limits.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first statement of a rate limit to the first window.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after the first statement of leaving from which a target gets nothing new.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after which a request that ends without an answer did not just cross the close of
/// its connection.
const CROSSING_TIME: Duration = Duration::from_millis(100);

/// A run with the checks of this soak.
struct Soak(run::Run);

const fn mode_of(seed: u64) -> mode::Mode {
    if seed.is_multiple_of(2) {
        mode::Mode::Planned
    } else {
        mode::Mode::Any
    }
}

/// Two entry nodes without a target, and two targets for each of the services `orders`,
/// whose requests run once at most, and `scripts`.
async fn fixture(seed: u64) -> (fleet::Fleet, generator::Plan) {
    let mut objects = objects::Objects::new(seed, &["normal"]);
    let key = objects.team("collectors", 1_000.0, 1_000);
    objects
        .route("orders", "normal", &["collectors"])
        .idempotent = false;
    objects.route("scripts", "normal", &["collectors"]);
    let orders = setup::target("orders", 40.0);
    let scripts = setup::target("scripts", 25.0);
    let nodes = vec![
        setup::bare_node(),
        setup::bare_node(),
        setup::node_with(orders.clone()),
        setup::node_with(orders),
        setup::node_with(scripts.clone()),
        setup::node_with(scripts),
    ];
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(nodes)
        .seed(seed)
        .build();
    let fleet = setup::fleet(&spec, objects).await;
    let mut orders = run::load("/orders", RATE, &key);
    orders.idempotency_key = true;
    let plan = generator::Plan::builder()
        .entries(fleet.callers())
        .seed(seed)
        .phases(vec![plan::Phase {
            duration_ms: u64::try_from(LOAD_TIME.as_millis()).unwrap(),
            factor: 1.0,
        }])
        .teams(vec![orders, run::load("/scripts", RATE, &key)])
        .build();
    (fleet, plan)
}

async fn soak(seed: u64) -> Soak {
    let (fleet, plan) = fixture(seed).await;
    let injector = injector::Injector::new(seed, mode_of(seed));
    Soak(run::Run::collect(fleet, plan, injector, FAULT_TIME).await)
}

impl Soak {
    /// Executions of a request of `orders`, at all targets.
    fn executions_of(&self, id: record::Id) -> u64 {
        let key = record::request_id(self.0.report.plan.seed, id);
        let counts = self.0.executions.iter();
        counts
            .filter_map(|executions| executions.by_idempotency_key.get(&key))
            .sum()
    }

    /// What breaks a guarantee, one line each.
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_answers(&mut found);
        self.check_orders(&mut found);
        for statement in &self.0.history.statements {
            match statement.rate_limit {
                Some(rate) => self.check_rate(statement, rate, &mut found),
                None => self.check_leaving(statement, &mut found),
            }
        }
        found
    }

    /// A caller gets the answer to its own request, and a planned stop cuts off none.
    fn check_answers(&self, found: &mut Vec<String>) {
        for record in &self.0.report.records {
            let lost = record.outcome == record::Outcome::Disconnected
                && record.ended.saturating_sub(record.sent) > CROSSING_TIME
                && mode_of(self.0.report.plan.seed) == mode::Mode::Planned;
            if lost || record.outcome == record::Outcome::Mismatched {
                found.push(format!("answer: {record:?}"));
            }
        }
    }

    /// An order runs once at most, and not at all when every answer says so.
    fn check_orders(&self, found: &mut Vec<String>) {
        let mut requests: BTreeMap<record::Id, Vec<&record::Record>> = BTreeMap::new();
        let orders = self
            .0
            .report
            .records
            .iter()
            .filter(|record| record.id.team == 0);
        for record in orders {
            requests.entry(record.id).or_default().push(record);
        }
        for (id, records) in requests {
            let executions = self.executions_of(id);
            let refused = records.iter().all(|record| {
                record.ran() == Some(record::Ran::No)
                    || record.outcome == record::Outcome::Unreachable
            });
            if executions > 1 || refused && executions > 0 {
                found.push(format!("order: {executions} executions of {records:?}"));
            }
        }
    }

    /// A target gets at most one and a half times its stated rate, and five requests more.
    fn check_rate(&self, statement: &statement::Statement, rate: u32, found: &mut Vec<String>) {
        let samples = &self.0.history.samples[&statement.node];
        let allowed = 1.5 * f64::from(rate) * WINDOW.as_secs_f64() + 5.0;
        let holds = |at: Instant| {
            at > statement.from + SETTLE_TIME && statement.to.is_none_or(|to| at < to)
        };
        for (index, first) in samples.iter().enumerate() {
            let window = samples[index..].iter();
            let window =
                window.take_while(|sample| sample.at <= first.at + WINDOW && holds(sample.at));
            if let Some(last) = window.last() {
                let received = u32::try_from(last.total - first.total).unwrap();
                if f64::from(received) > allowed {
                    found.push(format!(
                        "rate: {received} at {statement:?}, allowed {allowed}"
                    ));
                    return;
                }
            }
        }
    }

    /// A target that states that it leaves gets nothing new from a node some time after
    /// that node has passed on an answer that says so, unless the node has restarted or
    /// was frozen since.
    fn check_leaving(&self, statement: &statement::Statement, found: &mut Vec<String>) {
        let holds = |at: Instant| at >= statement.from && statement.to.is_none_or(|to| at < to);
        let samples = self.0.history.samples[&statement.node].iter();
        let samples: Vec<_> = samples.filter(|sample| holds(sample.at)).collect();
        for (node, entry) in self.0.report.plan.entries.iter().enumerate() {
            let entry = entry.to_string();
            let total = |sample: &sample::Sample| sample.by_entry.get(&entry).copied();
            let total = |sample| total(sample).unwrap_or_default();
            let first = samples.first().map_or(0, |sample| total(sample));
            let Some(stated) = samples.iter().find(|sample| total(sample) > first) else {
                continue;
            };
            let mut outages = self.0.history.outages.iter();
            if outages.any(|(restarted, at)| *restarted == node && *at > statement.from) {
                continue;
            }
            let late = samples.iter();
            let mut late = late.filter(|sample| sample.at > stated.at + DRAIN_TIME);
            if let (Some(before), Some(after)) = (late.next(), late.next_back())
                && total(after) > total(before)
            {
                let count = total(after) - total(before);
                found.push(format!(
                    "leaving: {count} from node {node} at {statement:?}"
                ));
            }
        }
    }
}

// Guards against answers that are lost, mixed up or untrue, requests that run twice, and
// targets that get more than they state, while faults on all processes overlap.
#[test]
fn guarantees_hold_under_random_faults() {
    for seed in seeds::chosen(&DEFAULT_SEEDS) {
        let soak = runtime::run(soak(seed)).unwrap();

        let violations = soak.violations();

        let served = soak
            .0
            .report
            .requests()
            .filter(|one| one.is_served())
            .count();
        let total = soak.0.report.requests().count();
        println!("seed {seed}: {served} of {total} requests served");
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
