//! A crash or a failed operation at any step loses nothing that was acknowledged.

mod support;

use std::io;

use masticarch_store::{contents, error, request, store};
use rstest::rstest;

use support::{Disk, Fault, Rest, append, contents, disk, open, snapshot_at};

/// Requests of every kind, over several segments.
fn workload() -> Vec<request::Request> {
    let vote = |text: &[u8], request| request::Request {
        vote: Some(text.to_vec()),
        ..request
    };
    let truncate = |from, mut request: request::Request| {
        request.batch.truncate = Some(from);
        request
    };
    let snapshot = |index, request| request::Request {
        snapshot: Some(snapshot_at(index)),
        ..request
    };
    vec![
        vote(b"term 1", request::Request::default()),
        append(1..=3, 1),
        append(4..=9, 1),
        vote(b"term 2", truncate(6, append(6..=8, 2))),
        snapshot(5, append(9..=9, 2)),
        append(10..=20, 2),
        truncate(15, request::Request::default()),
        snapshot(12, request::Request::default()),
        append(15..=34, 2),
        // A snapshot received from a leader replaces the whole log, also what
        // an earlier leader left after its index.
        truncate(31, snapshot(30, append(31..=32, 3))),
        append(33..=40, 3),
        snapshot(40, request::Request::default()),
        append(41..=42, 3),
    ]
}

/// The contents that a disk may hold while a request is written: before it,
/// after each of its parts, and last after the whole request.
fn stages(before: &contents::Contents, request: &request::Request) -> Vec<contents::Contents> {
    let mut state = before.clone();
    let mut stages = vec![state.clone()];
    state.vote = request.vote.clone().or(state.vote);
    stages.push(state.clone());
    if let Some(from) = request.batch.truncate {
        state.entries.retain(|entry| entry.index < from);
        if request.snapshot.is_some() {
            stages.push(state.clone());
        }
    }
    if let Some(snapshot) = &request.snapshot {
        state.entries.retain(|entry| entry.index > snapshot.index);
        state.snapshot = snapshot.clone();
        stages.push(state.clone());
    }
    state.entries.extend(request.batch.entries.iter().cloned());
    stages.push(state);
    stages
}

/// Runs the workload until a write fails. Returns the contents that the disk may
/// hold then, and whether the whole workload was written.
fn run(disk: &Disk, mut state: contents::Contents) -> (Vec<contents::Contents>, bool) {
    let Ok((mut store, _)) = open(disk) else {
        return (vec![state], false);
    };
    for request in workload() {
        let stages = stages(&state, &request);
        if store.write(request).is_err() {
            return (stages, false);
        }
        state = stages[stages.len() - 1].clone();
    }
    (vec![state], true)
}

/// Number of steps of a run without faults.
fn steps() -> usize {
    let disk = disk();
    let before = contents(&disk);
    disk.fail_at(usize::MAX, Fault::Crash);
    assert!(run(&disk, before).1);
    disk.steps()
}

/// Checks that a disk can be opened, holds one of the allowed contents, and
/// accepts another entry.
fn assert_holds(disk: &Disk, allowed: &[contents::Contents], context: &str) {
    let (mut store, found) = open(disk).unwrap_or_else(|error| panic!("{context}: {error}"));
    assert!(allowed.contains(&found), "{context}: {found:?}");
    let last = found.entries.last().map(|entry| entry.index);
    let next = last.unwrap_or(found.snapshot.index) + 1;
    store.write(append(next..=next, 9)).unwrap();
    let last = contents(disk).entries.pop();
    assert_eq!(last, Some(support::entry(next, 9)), "{context}");
}

// Guards against a loss of acknowledged data, a log that cannot be opened, and
// half-applied requests, after a crash at any step of append, sync, snapshot,
// rename and segment removal.
#[rstest]
fn crash_at_any_step_keeps_what_was_acknowledged(
    #[values(Rest::Lost, Rest::Torn, Rest::Kept)] rest: Rest,
) {
    let steps = steps();
    assert!(steps > 60, "the workload has only {steps} steps");
    for step in 0..steps {
        let disk = disk();
        let before = contents(&disk);
        disk.fail_at(step, Fault::Crash);

        let (allowed, complete) = run(&disk, before);
        disk.restart(rest);

        assert!(!complete, "step {step} did not crash");
        assert_holds(&disk, &allowed, &format!("{rest:?}, step {step}"));
    }
}

// Guards against an acknowledgement after a full disk or a failed sync, because a
// retry would not notice the lost data, and against data lost by the restart.
#[rstest]
fn error_at_any_step_stops_all_writes(
    #[values(io::ErrorKind::StorageFull, io::ErrorKind::Other)] kind: io::ErrorKind,
) {
    for step in 0..steps() {
        let disk = disk();
        let (mut store, mut state) = open(&disk).unwrap();
        disk.fail_at(step, Fault::Error(kind));

        let mut allowed = Vec::new();
        let mut failures = Vec::new();
        for request in workload() {
            let stages = stages(&state, &request);
            match store.write(request) {
                Ok(()) => state = stages[stages.len() - 1].clone(),
                Err(failure) => failures.push(failure),
            }
            if failures.len() == 1 {
                allowed = stages;
                break;
            }
        }
        failures.extend(store.write(append(99..=99, 9)).err());

        let [error::Error::Io(_, file, cause), error::Error::Failed] = &failures[..] else {
            panic!("step {step}: {failures:?}");
        };
        assert_eq!(cause.kind(), kind, "{file}");
        disk.restart(Rest::Lost);
        assert_holds(&disk, &allowed, &format!("{kind:?}, step {step}"));
    }
}

// Guards against a directory that can neither be opened nor set up again after a
// crash, and against overwriting one that is set up.
#[test]
fn creation_can_be_repeated_after_a_crash_only() {
    let initial = snapshot_at(0);
    let create = |disk: &Disk| store::Store::create(disk, b"member 1", &initial);
    for step in 0..10 {
        let disk = Disk::default();
        disk.fail_at(step, Fault::Crash);

        let first = create(&disk);
        disk.restart(Rest::Lost);
        let opened = open(&disk).map(|_| ());
        let second = create(&disk);

        let empty = matches!(opened, Err(error::Error::Empty));
        assert_eq!(first.is_err(), empty, "step {step}: {opened:?}");
        assert_eq!(second.is_ok(), empty, "step {step}: {second:?}");
        assert_eq!(contents(&disk).snapshot, initial);
    }
}
