//! Control processes are cut off silently, and operators lose answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::fleet::partition;
use masticarch_load::proxy::{self, fault};
use masticarch_load::{error, fleet, ports};
use masticarch_testsuite::{group, operation, watch};
use rstest::rstest;

/// Longer than every timeout of the control processes and of the nodes: the
/// nodes refuse keyed requests after 5 s without a confirmed answer.
const CUT: Duration = Duration::from_secs(6);
/// Time in which changes go on after the cut.
const AFTER: Duration = Duration::from_secs(2);

/// Which control process is cut off.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Leader,
    Follower,
}

impl Victim {
    async fn find(self, fleet: &fleet::Fleet) -> Result<usize, error::Error> {
        let leader = fleet.leader().await?;
        Ok(match self {
            Self::Leader => leader,
            Self::Follower => (leader + 1) % fleet.controls.len(),
        })
    }
}

/// What a run has shown.
struct Run {
    violations: Vec<String>,
    accepted: usize,
    unknown: usize,
}

async fn cut_off(
    fleet: &fleet::Fleet,
    victim: Victim,
    partition: partition::Partition,
) -> Result<(), error::Error> {
    let victim = victim.find(fleet).await?;
    fleet.partition(victim, partition).await?;
    monoio::time::sleep(CUT).await;
    fleet.heal(victim).await
}

async fn run(seed: u64, victim: Victim, partition: partition::Partition) -> Run {
    let group = group::Group::arrange(seed, true).await;
    let mut writer = group.writer(seed);

    let end = Instant::now() + CUT + AFTER;
    let acting = async {
        futures::join!(
            writer.run_until(end, group::REPAIR),
            cut_off(&group.fleet, victim, partition),
        )
    };
    let ((operations, done), observations) = Box::pin(watch::during(group.nodes(), acting)).await;
    done.expect("the cut is made");
    group.converged().await;
    Run {
        violations: group.violations(&operations, &observations).await,
        accepted: group::accepted(&operations),
        unknown: group::unknown(&operations),
    }
}

// Guards against a cut in one or both directions that stops the group for
// longer than an election, and against changes lost or applied twice by it.
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

/// Fault proxies before the operator ports.
fn operator_proxies(group: &group::Group) -> Vec<proxy::Handle> {
    let start = |upstream: SocketAddr| {
        let listening = ports::allocate(upstream.ip()).expect("a free port");
        proxy::Handle::start(listening, upstream).expect("the proxy starts")
    };
    group.operator_ports().into_iter().map(start).collect()
}

/// Loses answers, then connections, until it is dropped.
async fn lose_answers(proxies: &[proxy::Handle], random: &mut fastrand::Rng) {
    let silence = proxy::Fault {
        silent: Some(fault::Direction::Backward),
        ..proxy::Fault::default()
    };
    loop {
        let proxy = &proxies[random.usize(..proxies.len())];
        proxy.apply(silence).await.expect("the proxy runs");
        monoio::time::sleep(Duration::from_millis(random.u64(5..40))).await;
        proxy.cut(fault::Cut::Reset).await.expect("the proxy runs");
        proxy
            .apply(proxy::Fault::default())
            .await
            .expect("the proxy runs");
        monoio::time::sleep(Duration::from_millis(random.u64(20..80))).await;
    }
}

// Guards against a resent change that is applied again or gets another answer
// than the first time, and against two changes built on the same version.
#[rstest]
#[case(211)]
#[case(212)]
fn racing_operators_resend_after_lost_answers(#[case] seed: u64) {
    const CHANGES: usize = 200;
    let (violations, operations, resent) = runtime::run(async {
        let group = group::Group::arrange(seed, false).await;
        let proxies = operator_proxies(&group);
        let ports: Vec<_> = proxies.iter().map(proxy::Handle::listening).collect();
        let mut first = group.writer_through(ports.clone(), seed);
        let mut second = group.writer_through(ports, seed + 1_000);
        let mut random = fastrand::Rng::with_seed(seed);

        let end = Instant::now() + Duration::from_secs(40);
        let racing = async {
            let both = async {
                let done = futures::join!(first.run(CHANGES, end), second.run(CHANGES, end));
                [done.0, done.1].concat()
            };
            monoio::select! {
                operations = both => operations,
                () = lose_answers(&proxies, &mut random) => Vec::new(),
            }
        };
        let (operations, observations): (Vec<operation::Operation>, _) =
            Box::pin(watch::during(group.nodes(), racing)).await;
        let violations = group.violations(&operations, &observations).await;
        (violations, operations, first.resent + second.resent)
    })
    .unwrap();

    let accepted = group::accepted(&operations);
    println!("{accepted} acknowledged, {resent} resent");
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::unknown(&operations), 0);
    assert_eq!(operations.len(), 2 * CHANGES);
    assert!(resent > 0);
}
