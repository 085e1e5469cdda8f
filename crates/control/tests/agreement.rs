//! The agreement task with its journal, in groups whose members share a process.

mod group;

use std::time::Duration;

use futures::future;
use masticarch_control::agreement::{message, status};
use masticarch_control::journal;
use masticarch_kernel::runtime;
use masticarch_model::{code, member};

use group::Group;

// Guards against commands that are acknowledged but not replicated, and against
// a follower that accepts commands or confirms leadership.
#[test]
fn commands_reach_every_member_through_the_leader_only() {
    let (outcome, refused, unconfirmed) = runtime::run(async {
        let group = Group::of_three();
        let leader = group.leader().await;
        let follower = group
            .members
            .iter()
            .find(|(id, _)| **id != leader)
            .unwrap()
            .1;

        let outcome = group.members[&leader].propose(b"a").await;
        let refused = follower.propose(b"b").await;
        let unconfirmed = follower.confirm().await;
        group.settle(b"a").await;

        (outcome, refused, unconfirmed)
    })
    .unwrap();

    assert!(outcome.is_ok(), "{outcome:?}");
    assert_eq!(refused, Err(code::Code::NotLeader));
    assert_eq!(unconfirmed, Err(code::Code::NotLeader));
}

// Guards against acknowledged commands that a restart of all members loses.
#[test]
fn acknowledged_commands_survive_a_restart_of_all_members() {
    runtime::run(async {
        let mut group = Group::of_three();
        let leader = group.leader().await;
        group.members[&leader].propose(b"abc").await.unwrap();

        for id in [1, 2, 3].map(member::Id) {
            group.stop(id).await;
        }
        for id in 1..=3 {
            group.start(&group.options(id));
        }
        group.leader().await;

        group.settle(b"abc").await;
    })
    .unwrap();
}

// Guards against a group that has no new leader 3 s after its leader has stopped.
#[test]
fn two_members_go_on_without_the_leader() {
    let (elapsed, outcome) = runtime::run(async {
        let mut group = Group::of_three();
        let leader = group.leader().await;
        let before = std::time::Instant::now();

        group.stop(leader).await;
        let next = group.leader().await;
        let elapsed = before.elapsed();
        let outcome = group.members[&next].propose(b"a").await;
        group.settle(b"a").await;

        (elapsed, outcome)
    })
    .unwrap();

    assert!(outcome.is_ok(), "{outcome:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
}

// Guards against confirmations and commands without a majority.
#[test]
fn member_alone_steps_down_and_answers_nothing_as_leader() {
    let (confirmed, role) = runtime::run(async {
        let mut group = Group::of_three();
        let leader = group.leader().await;
        let others: Vec<_> = group.members.keys().copied().collect();

        for id in others.into_iter().filter(|id| *id != leader) {
            group.stop(id).await;
        }
        let confirmed = group.members[&leader].confirm().await;
        let role = group.members[&leader].status().await.role;

        (confirmed, role)
    })
    .unwrap();

    assert_eq!(confirmed, Err(code::Code::NotLeader));
    assert_ne!(role, status::Role::Leader);
}

// Guards against a replacement that cannot answer because it knows no member yet,
// that votes before it has the state, that gets no snapshot, or whose predecessor
// stays in the group.
#[test]
fn replacement_learns_by_snapshot_and_then_votes() {
    let expected = vec![b'x'; 9000];
    let (installs, members) = runtime::run(async {
        let mut group = Group::of_three();
        let leader = group.leader().await;
        let lost = *group.members.keys().find(|id| **id != leader).unwrap();
        group.stop(lost).await;
        let first = &group.members[&leader];
        let proposals = (0..9000).map(|_| first.propose(b"x"));
        future::try_join_all(proposals).await.unwrap();

        let mut options = group.options(4);
        options.join = true;
        group.start(&options);
        let learner = member::Member {
            id: options.id,
            address: group::address_of(4),
            voter: false,
        };
        let first = &group.members[&leader];
        let add = |reply| message::Message::AddLearner(learner, reply);
        first.change(add).await.unwrap();
        group.settle(&expected).await;
        let promote = |reply| message::Message::Promote(options.id, reply);
        first.change(promote).await.unwrap();
        let remove = |reply| message::Message::Remove(lost, reply);
        first.change(remove).await.unwrap();

        let installs = group.members[&options.id].state.borrow().installs;
        (installs, first.status().await.members)
    })
    .unwrap();

    let mut voters: Vec<_> = members
        .iter()
        .filter(|control| control.member.voter)
        .collect();
    voters.sort_by_key(|control| control.member.id);
    assert_eq!(installs, 1);
    assert_eq!(voters.len(), 3);
    assert_eq!(voters[2].member.id, member::Id(4));
}

// Guards against a member that votes or leads although its disk fails.
#[test]
fn member_with_a_failing_disk_stops_taking_part() {
    let (answer, others) = runtime::run(async {
        let mut group = Group::of_three();
        let leader = group.leader().await;
        let failing = *group.members.keys().find(|id| **id != leader).unwrap();

        std::fs::remove_dir_all(group.options(failing.0).data).unwrap();
        group.stop(leader).await;
        let mut answer = Ok(());
        for _ in 0..100 {
            monoio::time::sleep(Duration::from_millis(50)).await;
            answer = group.members[&failing].confirm().await;
            if answer == Err(code::Code::StorageFailed) {
                break;
            }
        }
        let other = group.members.keys().find(|id| **id != failing).unwrap();
        let others = group.members[other].confirm().await;

        (answer, others)
    })
    .unwrap();

    assert_eq!(answer, Err(code::Code::StorageFailed));
    assert_eq!(others, Err(code::Code::NotLeader), "a vote was not durable");
}

// Guards against two processes that write to one data directory, and against an
// error that does not tell that the directory is in use.
#[test]
fn data_directory_in_use_is_refused() {
    let second = runtime::run(async {
        let group = Group::new();
        let options = group.options(1);
        let _first = journal::Journal::open(&options).unwrap();

        journal::Journal::open(&options).map(|_| ())
    })
    .unwrap();

    assert!(matches!(second, Err(journal::Error::Locked)), "{second:?}");
}

// Guards against a member that starts with an empty disk or that of another member,
// and votes again in terms in which it has voted.
#[test]
fn lost_and_foreign_data_directories_are_refused() {
    let (lost, foreign) = runtime::run(async {
        let group = Group::new();
        let mut options = group.options(1);
        options.new = false;

        let lost = journal::Journal::open(&options).map(|_| ());
        options.new = true;
        drop(journal::Journal::open(&options).unwrap());
        monoio::time::sleep(Duration::from_millis(100)).await;
        options.id = member::Id(9);
        let foreign = journal::Journal::open(&options).map(|_| ());

        (lost, foreign)
    })
    .unwrap();

    assert!(matches!(lost, Err(journal::Error::Lost)), "{lost:?}");
    let found = matches!(foreign, Err(journal::Error::Identity(member::Id(1))));
    assert!(found, "{foreign:?}");
}
