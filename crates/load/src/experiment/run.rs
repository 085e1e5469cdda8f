//! Runs an experiment: its baseline and the system, one after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future;

use super::{action, outcome, plan, trial};
use crate::{error, fleet, generator};

/// Timeout for processes to become ready, for the configuration to reach all nodes,
/// and for all targets to be known.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time before the load in which rate shares and connections settle.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Clock ticks per second in `/proc/PID/stat` on Linux (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs the baseline, then the system, and compares them.
///
/// # Errors
/// Any error of the fleet or the generator.
pub async fn run(plan: &plan::Plan) -> Result<outcome::Outcome, error::Error> {
    let baseline = run_trial(plan, Some(plan.baseline)).await?;
    let system = run_trial(plan, None).await?;
    let rows = plan.measures.iter().map(|criterion| outcome::Row {
        criterion: criterion.clone(),
        measured: criterion.measure.value(&system, &baseline),
        baseline: criterion.measure.value(&baseline, &baseline),
    });
    Ok(outcome::Outcome {
        experiment: plan.experiment,
        seed: plan.seed,
        rows: rows.collect(),
    })
}

/// Runs the given baseline, or the system if it is absent.
async fn run_trial(
    plan: &plan::Plan,
    baseline: Option<plan::Baseline>,
) -> Result<trial::Trial, error::Error> {
    let decisions = baseline != Some(plan::Baseline::DecisionsOff);
    let filler = baseline != Some(plan::Baseline::WithoutFiller);
    let mut fleet = fleet::Fleet::start(&plan.spec(decisions))?;
    fleet.wait_ready(READY_TIMEOUT).await?;
    let setup = plan.objects.build(plan.seed, filler);
    let version = fleet.operator.replace(setup.objects.configuration).await?;
    let names = fleet.node_names();
    fleet
        .operator
        .wait_applied(version, &names, READY_TIMEOUT)
        .await?;
    fleet.wait_targets(READY_TIMEOUT).await?;
    monoio::time::sleep(SETTLE_TIME).await;
    let entries = if baseline == Some(plan::Baseline::Direct) {
        target_addresses(&fleet)?
    } else {
        fleet.callers()
    };
    let load = generator_plan(plan, entries, &setup.keys);
    let before = node_seconds(&fleet);
    let (report, ()) = future::try_join(
        generator::run(load),
        apply_actions(&plan.actions, &mut fleet),
    )
    .await?;
    let node_seconds = node_seconds(&fleet) - before;
    Ok(trial::Trial {
        report,
        executions: executions(&fleet).await?,
        node_seconds,
    })
}

/// For each node, the address of the target beside it, or of the first target if it
/// has none.
fn target_addresses(fleet: &fleet::Fleet) -> Result<Vec<SocketAddr>, error::Error> {
    let target_address = |node: &fleet::handle::Node| {
        let target = node.target.as_ref();
        target.map(|target| target.settings().address)
    };
    let first = fleet.nodes.iter().find_map(target_address);
    let first = first.ok_or_else(|| error::Error::NotFound("a target".into()))?;
    let nodes = fleet.nodes.iter();
    Ok(nodes
        .map(|node| target_address(node).unwrap_or(first))
        .collect())
}

fn generator_plan(
    plan: &plan::Plan,
    entries: Vec<SocketAddr>,
    keys: &BTreeMap<String, String>,
) -> generator::Plan {
    let teams = plan.clients.iter().map(|client| {
        let mut team = client.load.clone();
        team.key = client
            .team
            .as_ref()
            .and_then(|name| keys.get(name).cloned());
        team
    });
    generator::Plan::builder()
        .entries(entries)
        .seed(plan.seed)
        .phases(plan.phases.clone())
        .teams(teams.collect())
        .timeout_ms(plan.timeout_ms)
        .build()
}

/// Applies the actions at their times since the start of the load.
async fn apply_actions(
    actions: &[action::Timed],
    fleet: &mut fleet::Fleet,
) -> Result<(), error::Error> {
    let started = Instant::now();
    for timed in actions {
        let due = Duration::from_millis(timed.at_ms);
        monoio::time::sleep(due.saturating_sub(started.elapsed())).await;
        timed.action.apply(fleet).await?;
    }
    Ok(())
}

async fn executions(
    fleet: &fleet::Fleet,
) -> Result<BTreeMap<String, crate::standin::record::Executions>, error::Error> {
    let mut sums = BTreeMap::new();
    for target in fleet.nodes.iter().filter_map(|node| node.target.as_ref()) {
        let executions = target.executions().await?;
        trial::Trial::add_executions(&mut sums, &target.settings().service, executions);
    }
    Ok(sums)
}

/// Processor time that all running nodes have used so far, in seconds.
fn node_seconds(fleet: &fleet::Fleet) -> f64 {
    let ids = fleet.nodes.iter().filter_map(|node| node.process.id());
    ids.map(|id| process_seconds(id).unwrap_or(0.0)).sum()
}

/// User and system time of a process in seconds: fields 14 and 15 of its `stat`
/// file. The name in parentheses, field 2, may contain spaces, so the text is split
/// after it, and field n has the index n - 3.
fn process_seconds(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}
