//! Control processes whose disks are lost or full, and restarts from the disk.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::fleet::{objects, ready};
use masticarch_load::{error, fleet};
use masticarch_model::member;
use masticarch_testsuite::{caller, group, setup, watch};
use masticarch_wire::header;
use masticarch_wire::message::operator;
use rstest::rstest;

/// File size limit that simulates a full disk, in blocks of 512 bytes; enough for
/// some hundred changes.
const MAX_FILE_BLOCKS: u64 = 64;
/// Number of requests, more than enough to fill the disk with their claims.
const REQUESTS: usize = 400;
/// Maximum number of elections until a given control process leads. It wins about
/// every second one.
const MAX_ELECTIONS: usize = 10;

/// Repeats an operator's request until it is done; a learner can be promoted only
/// after it has caught up.
async fn call_until_done(
    fleet: &fleet::Fleet,
    request: &operator::Request,
) -> Result<(), error::Error> {
    let started = Instant::now();
    let mut last = None;
    while started.elapsed() < group::RECOVERY_TIMEOUT {
        match fleet.operator.call(request).await? {
            operator::Reply::Done => return Ok(()),
            other => last = Some(other),
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(error::Error::Timeout(format!("{request:?}: {last:?}")))
}

/// Kills a control process, deletes its data, and replaces it by a member with a new
/// id and an empty disk.
async fn replace_control(
    fleet: &mut fleet::Fleet,
    lost: usize,
    id: u64,
) -> Result<(), error::Error> {
    fleet.controls[lost].process.kill()?;
    std::fs::remove_dir_all(&fleet.controls[lost].settings.data)?;
    let added = fleet.add_control(id)?;
    let member = member::Member {
        id: member::Id(id),
        address: fleet.controls[added].member_address(),
        voter: false,
    };
    let old = member::Id(fleet.controls[lost].settings.id);
    call_until_done(fleet, &operator::Request::AddMember(member)).await?;
    call_until_done(fleet, &operator::Request::PromoteMember(member::Id(id))).await?;
    call_until_done(fleet, &operator::Request::RemoveMember(old)).await?;
    fleet.controls.remove(lost);
    Ok(())
}

/// Replaces a control process whose disk is lost, and then kills the leader. `of_leader`
/// tells whether the replaced process leads.
async fn lose_disk_and_leader(
    fleet: &mut fleet::Fleet,
    of_leader: bool,
) -> Result<(), error::Error> {
    monoio::time::sleep(Duration::from_millis(500)).await;
    let current_leader = fleet.leader().await?;
    let lost = if of_leader {
        current_leader
    } else {
        (current_leader + 1) % 3
    };
    replace_control(fleet, lost, 4).await?;
    let second = fleet.leader().await?;
    fleet.controls[second].process.kill()
}

// Guards against a group that still depends on a member whose disk was lost and
// replaced. Such a group stops, or loses acknowledged changes, when the next VM is
// lost.
#[rstest]
#[case::of_the_leader(301, true)]
#[case::of_a_follower(302, false)]
fn second_vm_is_lost_after_a_disk_is_replaced(#[case] seed: u64, #[case] of_leader: bool) {
    let (violations, operations, members) = runtime::run(async {
        let mut group = group::Group::start(seed, false).await;
        let mut writer = group.writer(seed);
        let nodes = group.admin_ports();

        let load_and_faults = async {
            let mut operations = writer
                .run(50, Instant::now() + group::RECOVERY_TIMEOUT)
                .await;
            lose_disk_and_leader(&mut group.fleet, of_leader)
                .await
                .expect("the disk is replaced");
            let mut later = group.writer_through(group.operator_ports(), seed + 1);
            operations.extend(
                later
                    .run(50, Instant::now() + group::RECOVERY_TIMEOUT)
                    .await,
            );
            operations
        };
        let (operations, observations) = watch::during(nodes, load_and_faults).await;
        let violations = group.violations(&operations, &observations).await;
        let status = group.fleet.operator.status().await.unwrap();
        (violations, operations, status.members)
    })
    .unwrap();

    assert_eq!(violations, Vec::<String>::new());
    assert!(group::accepted_count(&operations) >= 98, "{operations:?}");
    assert_eq!(group::unknown_count(&operations), 0);
    assert_eq!(members.len(), 3, "{members:?}");
    assert!(
        members.iter().all(|control| control.member.voter),
        "{members:?}"
    );
}

// Guards against lost changes, and against nodes whose version decreases, when all
// control processes restart after many changes.
#[test]
fn restart_of_all_after_many_changes_keeps_them() {
    const SEED: u64 = 311;
    const CHANGES: usize = 1_000;
    let (violations, operations) = runtime::run(async {
        let mut group = group::Group::start(SEED, false).await;
        let mut writer = group.writer(SEED);
        let nodes = group.admin_ports();

        let load_and_faults = async {
            let end = Instant::now() + Duration::from_mins(1);
            let mut operations = writer.run(CHANGES, end).await;
            for control in &mut group.fleet.controls {
                control.process.kill().unwrap();
            }
            for control in &mut group.fleet.controls {
                control.process.restart().unwrap();
            }
            operations.extend(
                writer
                    .run(1, Instant::now() + group::RECOVERY_TIMEOUT)
                    .await,
            );
            operations
        };
        let (operations, observations) = watch::during(nodes, load_and_faults).await;
        (
            group.violations(&operations, &observations).await,
            operations,
        )
    })
    .unwrap();

    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::accepted_count(&operations), CHANGES + 1);
}

/// Freezes one leader after the other until the control process at `index` leads.
async fn make_leader(fleet: &fleet::Fleet, index: usize) -> Result<(), error::Error> {
    for _ in 0..MAX_ELECTIONS {
        let leader = fleet.leader().await?;
        if leader == index {
            return Ok(());
        }
        fleet.controls[leader].process.freeze()?;
        monoio::time::sleep(Duration::from_secs(1)).await;
        fleet.controls[leader].process.thaw()?;
    }
    Err(error::Error::Timeout("a control process to lead".into()))
}

/// Waits until a control process reports that it is not ready; `false` when it does
/// not within [`group::RECOVERY_TIMEOUT`].
async fn wait_not_ready(control: &fleet::control::Control) -> bool {
    let started = Instant::now();
    while started.elapsed() < group::RECOVERY_TIMEOUT {
        if !ready::is_ready(control.settings.admin).await {
            return true;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

// Guards against a member with a full disk that acknowledges what it cannot store,
// that blocks the group, or that does not report the fault.
#[rstest]
#[case::of_the_leader(321, true)]
#[case::of_a_follower(322, false)]
fn full_disk_is_reported_and_not_acknowledged(#[case] seed: u64, #[case] of_leader: bool) {
    let (violations, operations, is_not_ready, log) = runtime::run(async {
        let mut group = group::Group::start(seed, false).await;
        let current_leader = group.fleet.leader().await.unwrap();
        let index = (current_leader + 1) % 3;
        let control = &mut group.fleet.controls[index];
        control
            .process
            .restart_with_file_limit(MAX_FILE_BLOCKS)
            .unwrap();
        ready::wait(control.settings.admin, group::RECOVERY_TIMEOUT)
            .await
            .unwrap();
        if of_leader {
            Box::pin(make_leader(&group.fleet, index)).await.unwrap();
        }
        let mut writer = group.writer(seed);

        let load = async {
            let end = Instant::now() + Duration::from_secs(15);
            writer.run(400, end).await
        };
        let (operations, observations) = watch::during(group.admin_ports(), load).await;
        let control = &group.fleet.controls[index];
        let is_not_ready = wait_not_ready(control).await;
        let violations = group.violations(&operations, &observations).await;
        (
            violations,
            operations,
            is_not_ready,
            control.process.log().unwrap(),
        )
    })
    .unwrap();

    let is_reported = log.contains("storage failed");
    println!("{} acknowledged", group::accepted_count(&operations));
    assert!(is_reported, "{log}");
    assert!(is_not_ready, "the process still reports that it is ready");
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::accepted_count(&operations), 400);
}

/// Three control processes, and a node with a target for orders, whose route is not
/// idempotent.
async fn orders() -> (fleet::Fleet, caller::Caller) {
    const SEED: u64 = 331;
    let mut objects = objects::Objects::new(SEED, &["urgent"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    objects.route("orders", "urgent", &["arica"]).idempotent = false;
    let target = fleet::spec::Target::builder().service("orders").build();
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![setup::node_with(target)])
        .build();
    let fleet = setup::fleet(&spec, objects).await;
    (fleet, caller::Caller::with_key(&key))
}

/// Sends a request with an idempotency key of its own, so that the node claims it;
/// returns whether it was served.
async fn order(caller: &caller::Caller, node: SocketAddr, number: usize) -> bool {
    let key = format!("order-{number}");
    let headers = [(header::IDEMPOTENCY_KEY, key.as_str())];
    let answer = caller.send(node, "/orders", "1 jigsaw", &headers).await;
    answer.unwrap().status().is_success()
}

/// Sends requests until one is served. A team that was idle when the leader changed
/// has to wait until the leases that the previous leader granted have expired. The
/// numbers of these requests start at [`REQUESTS`], so that their idempotency keys
/// differ from those that the test uses.
async fn wait_served(caller: &caller::Caller, node: SocketAddr) {
    let started = Instant::now();
    for number in REQUESTS.. {
        if order(caller, node, number).await {
            return;
        }
        if started.elapsed() > group::RECOVERY_TIMEOUT {
            break;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no request is served");
}

// Guards against a node that keeps sending claims to a leader whose disk is full,
// and therefore refuses all non-idempotent requests.
#[test]
fn requests_that_run_once_go_on_when_the_leaders_disk_is_full() {
    let (max_refusal_time, is_not_ready) = runtime::run(async {
        let (mut fleet, caller) = orders().await;
        let index = (fleet.leader().await.unwrap() + 1) % 3;
        let control = &mut fleet.controls[index];
        control
            .process
            .restart_with_file_limit(MAX_FILE_BLOCKS)
            .unwrap();
        ready::wait(control.settings.admin, group::RECOVERY_TIMEOUT)
            .await
            .unwrap();
        Box::pin(make_leader(&fleet, index)).await.unwrap();
        let node = fleet.callers()[0];

        wait_served(&caller, node).await;
        let mut last_served = Instant::now();
        let mut max_refusal_time = Duration::ZERO;
        for number in 0..REQUESTS {
            if order(&caller, node, number).await {
                last_served = Instant::now();
            }
            max_refusal_time = max_refusal_time.max(last_served.elapsed());
            if max_refusal_time > group::RECOVERY_TIMEOUT {
                break;
            }
        }
        (
            max_refusal_time,
            wait_not_ready(&fleet.controls[index]).await,
        )
    })
    .unwrap();

    assert!(is_not_ready, "the disk was never full");
    assert!(
        max_refusal_time < Duration::from_secs(3),
        "{max_refusal_time:?}"
    );
}

// Guards against a member that stays out of its group for good after its disk was full for
// a moment: once a majority of the members have met this one after the other, no change is
// accepted any more, although all processes run.
#[test]
fn group_outlasts_disks_that_are_full_in_turn() {
    const SEED: u64 = 341;
    const CHANGES: usize = 20;
    const FULL_TIME: Duration = Duration::from_secs(1);
    const PAUSE: Duration = Duration::from_secs(3);
    let (violations, operations) = runtime::run(async {
        let mut group = group::Group::start(SEED, false).await;
        for control in &mut group.fleet.controls {
            control.process.restart_with_fillable_disk().unwrap();
            ready::wait(control.settings.admin, group::RECOVERY_TIMEOUT)
                .await
                .unwrap();
        }
        let mut writer = group.writer(SEED);
        let mut operations = Vec::new();

        for index in 0..group.fleet.controls.len() {
            let process = &group.fleet.controls[index].process;
            process.set_disk_full(true).unwrap();
            let end = Instant::now() + FULL_TIME;
            operations.extend(writer.run(CHANGES, end).await);
            monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
            process.set_disk_full(false).unwrap();
            monoio::time::sleep(PAUSE).await;
        }
        let end = Instant::now() + group::RECOVERY_TIMEOUT;
        let last = writer.run(CHANGES, end).await;
        let accepted = group::accepted_count(&last);
        operations.extend(last);
        assert_eq!(accepted, CHANGES, "{operations:?}");
        for control in &group.fleet.controls {
            ready::wait(control.settings.admin, group::RECOVERY_TIMEOUT)
                .await
                .unwrap();
        }
        (group.violations(&operations, &[]).await, operations)
    })
    .unwrap();

    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::unknown_count(&operations), 0);
}
