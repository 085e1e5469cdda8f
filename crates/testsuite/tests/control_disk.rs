//! Control processes lose their disks, fill them, and restart from them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_load::fleet::{objects, ready};
use masticarch_load::{error, fleet};
use masticarch_model::member;
use masticarch_testsuite::{arranged, caller, group, watch};
use masticarch_wire::header;
use masticarch_wire::message::operator;
use rstest::rstest;

/// Size of the largest file of a process whose disk is full, in blocks of 512
/// bytes; enough for some hundred changes.
const FILE_BLOCKS: u64 = 64;
/// Requests that fill the disk.
const REQUESTS: usize = 400;
/// Elections within which a given control process leads; one in two does.
const ELECTIONS: usize = 10;

/// Repeats an operator's call until it is done; a learner can only be promoted
/// once it has caught up.
async fn done(fleet: &fleet::Fleet, request: &operator::Request) -> Result<(), error::Error> {
    let started = Instant::now();
    let mut last = None;
    while started.elapsed() < group::REPAIR {
        match fleet.operator.call(request).await? {
            operator::Reply::Done => return Ok(()),
            other => last = Some(other),
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(error::Error::Timeout(format!("{request:?}: {last:?}")))
}

/// Loses the disk of a control process, and replaces the process by one with a
/// new id and an empty disk.
async fn replace(fleet: &mut fleet::Fleet, lost: usize, id: u64) -> Result<(), error::Error> {
    fleet.controls[lost].process.kill()?;
    std::fs::remove_dir_all(&fleet.controls[lost].settings.data)?;
    let added = fleet.add_control(id)?;
    let member = member::Member {
        id: member::Id(id),
        address: fleet.controls[added].member_address(),
        voter: false,
    };
    let old = member::Id(fleet.controls[lost].settings.id);
    done(fleet, &operator::Request::AddMember(member)).await?;
    done(fleet, &operator::Request::PromoteMember(member::Id(id))).await?;
    done(fleet, &operator::Request::RemoveMember(old)).await?;
    fleet.controls.remove(lost);
    Ok(())
}

/// Loses and replaces a disk, and then loses a second VM.
async fn lose_two(fleet: &mut fleet::Fleet, leader: bool) -> Result<(), error::Error> {
    monoio::time::sleep(Duration::from_millis(500)).await;
    let leading = fleet.leader().await?;
    let lost = if leader { leading } else { (leading + 1) % 3 };
    replace(fleet, lost, 4).await?;
    let second = fleet.leader().await?;
    fleet.controls[second].process.kill()
}

// Guards against a repaired group that rests on the disk that was lost: it
// would stop, or forget acknowledged changes, with the next VM.
#[rstest]
#[case::of_the_leader(301, true)]
#[case::of_a_follower(302, false)]
fn second_vm_is_lost_after_a_disk_is_replaced(#[case] seed: u64, #[case] leader: bool) {
    let (violations, operations, members) = runtime::run(async {
        let mut group = group::Group::arrange(seed, false).await;
        let mut writer = group.writer(seed);
        let nodes = group.nodes();

        let acting = async {
            let mut operations = writer.run(50, Instant::now() + group::REPAIR).await;
            lose_two(&mut group.fleet, leader)
                .await
                .expect("the disk is replaced");
            let mut later = group.writer_through(group.operator_ports(), seed + 1);
            operations.extend(later.run(50, Instant::now() + group::REPAIR).await);
            operations
        };
        let (operations, observations) = watch::during(nodes, acting).await;
        let violations = group.violations(&operations, &observations).await;
        let status = group.fleet.operator.status().await.unwrap();
        (violations, operations, status.members)
    })
    .unwrap();

    assert_eq!(violations, Vec::<String>::new());
    assert!(group::accepted(&operations) >= 98, "{operations:?}");
    assert_eq!(group::unknown(&operations), 0);
    assert_eq!(members.len(), 3, "{members:?}");
    assert!(
        members.iter().all(|control| control.member.voter),
        "{members:?}"
    );
}

// Guards against changes that are lost, and against nodes that go back, when
// all control processes restart after many changes.
#[test]
fn restart_of_all_after_many_changes_keeps_them() {
    const SEED: u64 = 311;
    const CHANGES: usize = 1_000;
    let (violations, operations) = runtime::run(async {
        let mut group = group::Group::arrange(SEED, false).await;
        let mut writer = group.writer(SEED);
        let nodes = group.nodes();

        let acting = async {
            let end = Instant::now() + Duration::from_mins(1);
            let mut operations = writer.run(CHANGES, end).await;
            for control in &mut group.fleet.controls {
                control.process.kill().unwrap();
            }
            for control in &mut group.fleet.controls {
                control.process.restart().unwrap();
            }
            operations.extend(writer.run(1, Instant::now() + group::REPAIR).await);
            operations
        };
        let (operations, observations) = watch::during(nodes, acting).await;
        (
            group.violations(&operations, &observations).await,
            operations,
        )
    })
    .unwrap();

    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::accepted(&operations), CHANGES + 1);
}

/// Freezes leaders until a control process leads.
async fn lead(fleet: &fleet::Fleet, index: usize) -> Result<(), error::Error> {
    for _ in 0..ELECTIONS {
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

/// Waits until a control process says that it is not ready.
async fn unready(control: &fleet::control::Control) -> bool {
    let started = Instant::now();
    while started.elapsed() < group::REPAIR {
        if !ready::is_ready(control.settings.admin).await {
            return true;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

// Guards against a member with a full disk that acknowledges, that keeps the
// group from going on, or that does not say so.
#[rstest]
#[case::of_the_leader(321, true)]
#[case::of_a_follower(322, false)]
fn full_disk_is_reported_and_not_acknowledged(#[case] seed: u64, #[case] leader: bool) {
    let (violations, operations, full, log) = runtime::run(async {
        let mut group = group::Group::arrange(seed, false).await;
        let leading = group.fleet.leader().await.unwrap();
        let index = (leading + 1) % 3;
        let control = &mut group.fleet.controls[index];
        control
            .process
            .restart_with_file_limit(FILE_BLOCKS)
            .unwrap();
        ready::wait(control.settings.admin, group::REPAIR)
            .await
            .unwrap();
        if leader {
            Box::pin(lead(&group.fleet, index)).await.unwrap();
        }
        let mut writer = group.writer(seed);

        let acting = async {
            let end = Instant::now() + Duration::from_secs(15);
            writer.run(400, end).await
        };
        let (operations, observations) = watch::during(group.nodes(), acting).await;
        let control = &group.fleet.controls[index];
        let full = unready(control).await;
        let violations = group.violations(&operations, &observations).await;
        (violations, operations, full, control.process.log().unwrap())
    })
    .unwrap();

    let stored = log.contains("storage failed");
    println!("{} acknowledged", group::accepted(&operations));
    assert!(stored, "{log}");
    assert!(full, "the process still says that it is ready");
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(group::accepted(&operations), 400);
}

/// Three control processes, and a node with a target for orders, whose requests
/// may run once only.
async fn orders() -> (fleet::Fleet, caller::Caller) {
    const SEED: u64 = 331;
    let mut objects = objects::Objects::new(SEED, &["urgent"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    objects.route("orders", "urgent", &["arica"]).idempotent = false;
    let target = fleet::spec::Target::builder().service("orders").build();
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![arranged::node_with(target)])
        .build();
    let fleet = arranged::arrange(&spec, objects).await;
    (fleet, caller::Caller::with_key(&key))
}

/// Sends a request with an idempotency key of its own, so that it is claimed;
/// tells whether it was served.
async fn order(caller: &caller::Caller, node: SocketAddr, number: usize) -> bool {
    let key = format!("order-{number}");
    let headers = [(header::IDEMPOTENCY_KEY, key.as_str())];
    let answer = caller.send(node, "/orders", "1 jigsaw", &headers).await;
    answer.unwrap().status().is_success()
}

/// Sends requests until one is served. A team that was idle when the leader
/// changed has to wait until the leases of the earlier leader are over.
async fn served(caller: &caller::Caller, node: SocketAddr) {
    let started = Instant::now();
    for number in REQUESTS.. {
        if order(caller, node, number).await {
            return;
        }
        if started.elapsed() > group::REPAIR {
            break;
        }
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no request is served");
}

// Guards against a node that keeps asking a leader whose disk is full, and so
// refuses all non-idempotent requests.
#[test]
fn requests_that_run_once_go_on_when_the_leaders_disk_is_full() {
    let (refused, full) = runtime::run(async {
        let (mut fleet, caller) = orders().await;
        let index = (fleet.leader().await.unwrap() + 1) % 3;
        let control = &mut fleet.controls[index];
        control
            .process
            .restart_with_file_limit(FILE_BLOCKS)
            .unwrap();
        ready::wait(control.settings.admin, group::REPAIR)
            .await
            .unwrap();
        Box::pin(lead(&fleet, index)).await.unwrap();
        let node = fleet.callers()[0];

        served(&caller, node).await;
        let mut answered = Instant::now();
        let mut refused = Duration::ZERO;
        for number in 0..REQUESTS {
            if order(&caller, node, number).await {
                answered = Instant::now();
            }
            refused = refused.max(answered.elapsed());
            if refused > group::REPAIR {
                break;
            }
        }
        (refused, unready(&fleet.controls[index]).await)
    })
    .unwrap();

    assert!(full, "the disk was never full");
    assert!(refused < Duration::from_secs(3), "{refused:?}");
}
