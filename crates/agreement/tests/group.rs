//! Groups of members under faults keep Raft's guarantees.

mod support;

use std::time::Duration;

use masticarch_agreement::{change, refusal};
use masticarch_model::member;

use support::{Faults, Group};

/// Prints the seed when the test fails.
struct Seed(u64);

impl Drop for Seed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with MASTICARCH_SEED={}", self.0);
        }
    }
}

/// The seeds to run: one from the environment, or `count` from 0 on.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = std::env::var("MASTICARCH_SEED").ok();
    let given = given.and_then(|text| text.parse().ok());
    given.map_or(0..count, |seed: u64| seed..seed + 1)
}

fn settled_group(size: u64, seed: u64) -> Group {
    let mut group = Group::new(size, seed, Faults::none());
    group.run(Duration::from_secs(3));
    group
}

/// Checks that a healed group has a leader, has replaced lost members, and that
/// all members apply new entries.
fn assert_agrees(group: &mut Group) {
    group.heal();
    assert!(group.leader().is_some(), "no leader");
    assert!(group.is_repaired(), "the replacement is not finished");
    let before = group.history.last_index();
    group.run(Duration::from_secs(1));
    assert!(group.history.last_index() > before, "no progress");
    let lowest = group
        .members
        .values()
        .map(|member| member.state().0.0)
        .min();
    assert!(
        lowest > Some(before),
        "a member lags at {lowest:?} of {before}"
    );
}

/// Log matching: where two logs agree on a term, they agree on all before.
fn assert_logs_match(group: &Group) {
    for left in group.members.values() {
        for right in group.members.values() {
            let left = left.disk.entries.iter().rev();
            let right = &right.disk.entries;
            let shared = |position| right.iter().position(|entry| entry.position == position);
            let mut common = left
                .clone()
                .skip_while(|entry| shared(entry.position).is_none());
            let Some(end) = common
                .clone()
                .next()
                .and_then(|entry| shared(entry.position))
            else {
                continue;
            };
            for entry in right[..=end].iter().rev() {
                let Some(other) = common.next() else {
                    break;
                };
                assert_eq!(entry, other);
            }
        }
    }
}

fn run_with_faults(size: u64, seed: u64) -> Group {
    let _seed = Seed(seed);
    let mut group = Group::new(size, seed, Faults::all());
    for _ in 0..30 {
        group.run(Duration::from_millis(500));
        assert_logs_match(&group);
    }
    assert_agrees(&mut group);
    group
}

// Guards against two leaders in a term, diverging logs, lost committed entries,
// stale confirmations and a group that does not recover, with messages dropped,
// repeated, reordered and delayed, crashes, partitions and lost disks.
#[test]
fn three_members_keep_their_promises_under_faults() {
    let groups: Vec<_> = seeds(60).map(|seed| run_with_faults(3, seed)).collect();

    // Guards against a simulation in which nothing happens.
    let confirmations: usize = groups
        .iter()
        .flat_map(|group| group.confirmations.values())
        .sum();
    let replacements: usize = groups.iter().map(|group| group.replacements).sum();
    let committed: u64 = groups.iter().map(|group| group.history.last_index()).sum();
    println!("{committed} entries, {confirmations} confirmations, {replacements} replacements");
    assert!(committed > 0 && confirmations > 0 && replacements > 0);
}

// Guards against the same faults in a group whose majority is three.
#[test]
fn five_members_keep_their_promises_under_faults() {
    for seed in seeds(40) {
        run_with_faults(5, seed);
    }
}

// Guards against a leader that is partitioned and still answers as the leader.
#[test]
fn isolated_leader_steps_down_and_confirms_nothing() {
    let mut group = settled_group(3, 1);
    let old = group.leader().unwrap();

    group.isolate(old);
    let before = group.confirmations.clone();
    group.confirm(old);
    group.run(Duration::from_secs(2));

    let leader = group.leader().unwrap();
    assert!(!group.members[&old].leads());
    assert_eq!(group.confirmations[&old], before[&old]);
    assert!(group.confirmations.get(&leader) > before.get(&leader));
}

// Guards against a member that was partitioned and deposes the leader when it
// returns.
#[test]
fn returning_member_does_not_depose_the_leader() {
    let mut group = settled_group(3, 2);
    let leader = group.leader().unwrap();
    let term = group.members[&leader].term();
    let other = *group.members.keys().find(|id| **id != leader).unwrap();

    group.isolate(other);
    group.run(Duration::from_secs(5));
    group.heal();

    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.members[&leader].term(), term);
}

// Guards against a leaderless time above the bound of 3 s after a crash.
#[test]
fn crashed_leader_is_replaced_within_two_seconds() {
    for seed in seeds(20) {
        let mut group = settled_group(3, seed);
        let old = group.leader().unwrap();

        group.isolate(old);
        group.crash(old);
        group.run(Duration::from_secs(2));

        assert!(group.leader().is_some(), "seed {seed}");
    }
}

// Guards against a vote for a member that lacks the state, a second change
// before the first is committed, and a group without voters.
#[test]
fn unsafe_changes_of_members_are_refused() {
    let mut group = settled_group(1, 3);
    let only = group.leader().unwrap();
    let learner = support::learner(member::Id(9));
    let mut change = |change| {
        group
            .input(only, |raft, _| raft.propose_change(change))
            .unwrap()
    };

    let first = change(change::Change::AddLearner(learner.clone()));
    let second = change(change::Change::AddLearner(learner.clone()));
    let early = change(change::Change::Remove(only));
    group.run(Duration::from_millis(100));
    let mut change = |change| {
        group
            .input(only, |raft, _| raft.propose_change(change))
            .unwrap()
    };
    let promoted = change(change::Change::Promote(learner.id));
    let repeated = change(change::Change::AddLearner(learner));
    let last = change(change::Change::Remove(only));

    assert!(first.is_ok());
    assert_eq!(second, Err(refusal::Refusal::ChangePending));
    assert_eq!(early, Err(refusal::Refusal::ChangePending));
    assert_eq!(promoted, Err(refusal::Refusal::NotCaughtUp));
    assert_eq!(repeated, Err(refusal::Refusal::DuplicateMember));
    assert_eq!(last, Err(refusal::Refusal::LastVoter));
}
