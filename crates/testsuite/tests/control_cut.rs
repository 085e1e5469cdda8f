//! Network partitions of control processes, in which connections fail silently, and
//! answers that are lost on their way to operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::fleet::partition;
use masticarch_load::proxy::{self, fault};
use masticarch_load::{error, fleet, ports};
use masticarch_testsuite::{group, operation, watch};
use rstest::rstest;

/// Duration of a partition. It exceeds every timeout of the control processes and of
/// the nodes, which refuse keyed requests after 5 s without a confirmed answer.
const PARTITION_DURATION: Duration = Duration::from_secs(6);
/// Time for which operators go on sending changes after the partition has healed.
const LOAD_AFTER_PARTITION: Duration = Duration::from_secs(2);

/// The control process that is cut off.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Leader,
    Follower,
}

impl Victim {
    /// Index of the control process.
    async fn find(self, fleet: &fleet::Fleet) -> Result<usize, error::Error> {
        let leader = fleet.leader().await?;
        Ok(match self {
            Self::Leader => leader,
            Self::Follower => (leader + 1) % fleet.controls.len(),
        })
    }
}

/// Violations found after a run, and the numbers of changes that were acknowledged
/// and that were not answered in time.
struct Run {
    violations: Vec<String>,
    accepted: usize,
    unknown: usize,
}

/// Cuts a control process off, and reconnects it after [`PARTITION_DURATION`].
async fn cut_off(
    fleet: &fleet::Fleet,
    victim: Victim,
    partition: partition::Partition,
) -> Result<(), error::Error> {
    let victim = victim.find(fleet).await?;
    fleet.partition(victim, partition).await?;
    monoio::time::sleep(PARTITION_DURATION).await;
    fleet.heal(victim).await
}

async fn run(seed: u64, victim: Victim, partition: partition::Partition) -> Run {
    let group = group::Group::start(seed, true).await;
    let mut writer = group.writer(seed);

    let end = Instant::now() + PARTITION_DURATION + LOAD_AFTER_PARTITION;
    let load_and_partition = async {
        futures::join!(
            writer.run_until(end, group::RECOVERY_TIMEOUT),
            cut_off(&group.fleet, victim, partition),
        )
    };
    let ((operations, partition_result), observations) =
        Box::pin(watch::during(group.admin_ports(), load_and_partition)).await;
    partition_result.expect("the partition is made and healed");
    group.wait_converged().await;
    Run {
        violations: group.violations(&operations, &observations).await,
        accepted: group::accepted_count(&operations),
        unknown: group::unknown_count(&operations),
    }
}

// Guards against a partition, in one or both directions, that stops the group for
// longer than an election, and against changes that are lost or applied twice
// because of it.
#[rstest]
#[case::leader_cut_off(201, Victim::Leader, partition::Partition::Both)]
#[case::leader_hears_nothing(202, Victim::Leader, partition::Partition::Inbound)]
#[case::leader_is_not_heard(203, Victim::Leader, partition::Partition::Outbound)]
#[case::follower_cut_off(204, Victim::Follower, partition::Partition::Both)]
#[case::follower_hears_nothing(205, Victim::Follower, partition::Partition::Inbound)]
#[case::follower_is_not_heard(206, Victim::Follower, partition::Partition::Outbound)]
fn cut_control_process_loses_no_change(
    #[case] seed: u64,
    #[case] victim: Victim,
    #[case] partition: partition::Partition,
) {
    let run = runtime::run(run(seed, victim, partition)).unwrap();

    println!("{} acknowledged, {} unknown", run.accepted, run.unknown);
    assert_eq!(run.violations, Vec::<String>::new());
    assert_eq!(run.unknown, 0);
    assert!(run.accepted > 40, "{}", run.accepted);
}

/// Starts a fault proxy in front of each operator port.
fn operator_proxies(group: &group::Group) -> Vec<proxy::Handle> {
    let start = |upstream: SocketAddr| {
        let listening = ports::allocate(upstream.ip()).expect("a free port");
        proxy::Handle::start(listening, upstream).expect("the proxy starts")
    };
    group.operator_ports().into_iter().map(start).collect()
}

/// Drops answers at a random proxy and then resets its connections, repeatedly and
/// until the future is dropped.
async fn lose_answers(proxies: &[proxy::Handle], random: &mut fastrand::Rng) {
    let lost_answers = proxy::Fault {
        silent: Some(fault::Direction::Backward),
        ..proxy::Fault::default()
    };
    loop {
        let proxy = &proxies[random.usize(..proxies.len())];
        proxy.apply(lost_answers).await.expect("the proxy runs");
        monoio::time::sleep(Duration::from_millis(random.u64(5..40))).await;
        proxy.cut(fault::Cut::Reset).await.expect("the proxy runs");
        proxy
            .apply(proxy::Fault::default())
            .await
            .expect("the proxy runs");
        monoio::time::sleep(Duration::from_millis(random.u64(20..80))).await;
    }
}

// Guards against a resent change that is applied again or gets another answer than
// the first time, and against two changes that are accepted on the same version.
#[rstest]
#[case(211)]
#[case(212)]
fn racing_operators_resend_after_lost_answers(#[case] seed: u64) {
    const CHANGES: usize = 200;
    let (violations, operations, resends) = runtime::run(async {
        let group = group::Group::start(seed, false).await;
        let proxies = operator_proxies(&group);
        let ports: Vec<_> = proxies.iter().map(proxy::Handle::listening).collect();
        let mut first = group.writer_through(ports.clone(), seed);
        let mut second = group.writer_through(ports, seed + 1_000);
        let mut random = fastrand::Rng::with_seed(seed);

        let end = Instant::now() + Duration::from_secs(40);
        let racing = async {
            let both = async {
                let results = futures::join!(first.run(CHANGES, end), second.run(CHANGES, end));
                [results.0, results.1].concat()
            };
            monoio::select! {
                operations = both => operations,
                () = lose_answers(&proxies, &mut random) => Vec::new(),
            }
        };
        let (operations, observations): (Vec<operation::Operation>, _) =
            Box::pin(watch::during(group.admin_ports(), racing)).await;
        let violations = group.violations(&operations, &observations).await;
        (violations, operations, first.resends + second.resends)
    })
    .unwrap();

    let accepted = group::accepted_count(&operations);
    println!("{accepted} acknowledged, {resends} resends");
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::unknown_count(&operations), 0);
    assert_eq!(operations.len(), 2 * CHANGES);
    assert!(resends > 0);
}
