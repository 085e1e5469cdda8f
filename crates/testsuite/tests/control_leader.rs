//! The leader of the control group is killed or frozen while operators change
//! the configuration.

use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::{error, fleet};
use masticarch_testsuite::{group, operation, watch};
use masticarch_wire::message::operator;
use rstest::rstest;

/// Time for which a leader is frozen; longer than the leader's lease and every
/// timeout of the election.
const FREEZE_DURATION: Duration = Duration::from_secs(3);

/// Longest time for which no change is answered after a leader was killed.
const MAX_FAILOVER: Duration = Duration::from_secs(3);

/// Record of a test run, against which the final state is checked.
struct Record {
    operations: Vec<operation::Operation>,
    observations: Vec<watch::Observation>,
    /// Longest time for which an operator waited for an answer.
    max_latency: Duration,
}

impl Record {
    async fn violations(&self, group: &group::Group) -> Vec<String> {
        group.violations(&self.operations, &self.observations).await
    }
}

/// Lets two operators change the configuration for `span` while faults are injected.
async fn race_operators(
    group: &mut group::Group,
    seed: u64,
    span: Duration,
    faults: impl AsyncFnOnce(&mut fleet::Fleet) -> Result<(), error::Error>,
) -> Record {
    let mut first = group.writer(seed);
    let mut second = group.writer(seed + 1);
    let nodes = group.admin_ports();
    let end = Instant::now() + span;
    let load_and_faults = async {
        futures::join!(
            first.run_until(end, group::RECOVERY_TIMEOUT),
            second.run_until(end, group::RECOVERY_TIMEOUT),
            faults(&mut group.fleet),
        )
    };
    let ((mut operations, more, fault_result), observations) =
        watch::during(nodes, load_and_faults).await;
    fault_result.expect("the faults are injected");
    operations.extend(more);
    Record {
        operations,
        observations,
        max_latency: first.max_latency.max(second.max_latency),
    }
}

async fn kill_leaders(fleet: &mut fleet::Fleet) -> Result<(), error::Error> {
    for _ in 0..2 {
        monoio::time::sleep(Duration::from_secs(1)).await;
        let leader = fleet.leader().await?;
        fleet.controls[leader].process.kill()?;
        monoio::time::sleep(Duration::from_secs(2)).await;
        fleet.controls[leader].process.restart()?;
    }
    Ok(())
}

async fn freeze_leader(fleet: &mut fleet::Fleet) -> Result<(), error::Error> {
    monoio::time::sleep(Duration::from_secs(1)).await;
    let leader = fleet.leader().await?;
    fleet.controls[leader].process.freeze()?;
    monoio::time::sleep(FREEZE_DURATION).await;
    fleet.controls[leader].process.thaw()
}

// Guards against acknowledged changes that are lost or applied twice because the
// leader was killed before the other members stored them, and against slow
// elections.
#[rstest]
#[case(101)]
#[case(102)]
fn killed_leaders_lose_no_acknowledged_change(#[case] seed: u64) {
    let (violations, accepted, max_latency) = runtime::run(async {
        let mut group = group::Group::start(seed, false).await;
        let span = Duration::from_secs(7);

        let record = Box::pin(race_operators(&mut group, seed, span, kill_leaders)).await;
        group.wait_converged().await;
        let violations = record.violations(&group).await;
        (
            violations,
            group::accepted_count(&record.operations),
            record.max_latency,
        )
    })
    .unwrap();

    println!("{accepted} changes were acknowledged, each within {max_latency:?}");
    assert_eq!(violations, Vec::<String>::new());
    assert!(accepted > 20, "{accepted}");
    assert!(max_latency < MAX_FAILOVER, "{max_latency:?}");
}

// Guards against changes that a frozen leader acknowledges after another one
// has been elected.
#[rstest]
#[case(111)]
fn frozen_leader_loses_no_acknowledged_change(#[case] seed: u64) {
    let (violations, accepted) = runtime::run(async {
        let mut group = group::Group::start(seed, false).await;
        let span = Duration::from_secs(6);

        let record = Box::pin(race_operators(&mut group, seed, span, freeze_leader)).await;
        group.wait_converged().await;
        let violations = record.violations(&group).await;
        (violations, group::accepted_count(&record.operations))
    })
    .unwrap();

    println!("{accepted} changes were acknowledged");
    assert_eq!(violations, Vec::<String>::new());
    assert!(accepted > 20, "{accepted}");
}

// Guards against a leader that was frozen and, when it resumes, answers requests
// that arrived meanwhile as if it still led: with a stale read, or by acknowledging
// a change that the other members have not accepted.
#[rstest]
#[case(121)]
#[case(122)]
fn resumed_leader_answers_nothing_as_current(#[case] seed: u64) {
    let (read, write) = runtime::run(async {
        let group = group::Group::start(seed, false).await;
        let fleet = &group.fleet;
        let leader = fleet.leader().await.unwrap();
        let address = fleet.controls[leader].settings.operator;
        let session = fleet.operator.session(address).await.unwrap();
        let request = operation::change(u128::from(seed), group.version);
        let request = operator::Request::Apply(request);

        fleet.controls[leader].process.freeze().unwrap();
        let asking = async {
            futures::join!(
                session.call(&operator::Request::Get),
                session.call(&request)
            )
        };
        let resuming = async {
            let committed = group
                .writer(seed)
                .run(1, Instant::now() + group::RECOVERY_TIMEOUT)
                .await;
            monoio::time::sleep(FREEZE_DURATION).await;
            fleet.controls[leader].process.thaw().unwrap();
            committed
        };
        let (answers, committed) = futures::join!(asking, resuming);
        assert_eq!(group::accepted_count(&committed), 1);
        answers
    })
    .unwrap();

    assert!(
        !matches!(read, Ok(operator::Reply::Configuration(..))),
        "{read:?}"
    );
    assert!(
        !matches!(write, Ok(operator::Reply::Accepted(_))),
        "{write:?}"
    );
}
