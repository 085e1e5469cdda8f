//! Admission at the node beside a target.

mod fixture;

use std::time::{Duration, Instant};

use masticarch_model::{code, target};
use masticarch_node::admission::{entry, message};
use masticarch_node::caller::watch;

const ANSWERED: message::End = message::End::Answered(Duration::from_millis(10));

// Guards against more requests at a cold target than its initial concurrency limit, and
// against queued requests that are never answered.
#[test]
fn requests_beyond_the_limit_wait_and_are_refused_in_time() {
    let (codes, waited, summary) = fixture::with_admission(true, |admission| async move {
        let begun = Instant::now();
        let asked = (0..5).map(|_| admission.acquire(fixture::entry(3, false)));
        let outcomes = futures::future::join_all(asked).await;
        let waited = begun.elapsed();
        let denied: Vec<_> = outcomes.into_iter().filter_map(Result::err).collect();
        let codes: Vec<_> = denied.iter().map(|(refusal, _)| refusal.code).collect();
        (codes, waited, denied[0].1)
    });

    assert_eq!(codes, [code::Code::Overloaded; 3]);
    assert!(waited < Duration::from_millis(150), "{waited:?}");
    assert_eq!((summary.credit, summary.executions), (3, Some(0)));
    assert_eq!(summary.overload, 0);
}

// Guards against a permit that still counts after its call has ended.
#[test]
fn ended_call_makes_room_for_a_waiting_one() {
    let summary = fixture::with_admission(true, |admission| async move {
        let first = admission.acquire(fixture::entry(3, false)).await.unwrap();
        admission.acquire(fixture::entry(3, false)).await.unwrap();
        let third = admission.acquire(fixture::entry(3, false));
        let release = admission.release(&first, ANSWERED);
        let (third, summary) = futures::join!(third, release);
        assert!(third.is_ok());
        summary
    });

    assert_eq!((summary.credit, summary.executions), (3, Some(1)));
}

// Guards against a guessed context, or one whose call has ended, that lets a request
// run under another team.
#[test]
fn context_is_valid_only_while_its_call_runs() {
    let (valid, forged, malformed, ended) = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
        let mut forged = permit.context.to_string();
        let last = if forged.ends_with('0') { "1" } else { "0" };
        forged.replace_range(forged.len() - 1.., last);
        let valid = admission.begin_sub_call(&permit.context).await;
        let forged = admission.begin_sub_call(&forged).await;
        let malformed = admission.begin_sub_call("\u{e9}context").await;
        admission.release(&permit, ANSWERED).await;
        let ended = admission.begin_sub_call(&permit.context).await;
        (valid, forged, malformed, ended)
    });

    assert_eq!(valid.map(|parent| parent.credit), Some(2));
    assert!(forged.is_none() && malformed.is_none() && ended.is_none());
}

// Guards against sub-calls that keep running after their parent has ended.
#[test]
fn sub_calls_are_cancelled_when_the_parent_ends() {
    let (before, after) = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
        let parent = admission.begin_sub_call(&permit.context).await.unwrap();
        let before = parent.ended.is_set();
        admission.release(&permit, ANSWERED).await;
        (before, parent.ended.is_set())
    });

    assert!(!before);
    assert!(after);
}

// Guards against a call tree that spends its credit twice, or whose executions are not
// counted.
#[test]
fn credit_of_sub_calls_comes_back_with_their_executions() {
    let summary = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
        admission.begin_sub_call(&permit.context).await.unwrap();
        let back = message::Message::EndSubCall(permit.call, 1, Some(2));
        admission.address.send(back).await.unwrap();
        admission.release(&permit, ANSWERED).await
    });

    assert_eq!((summary.credit, summary.executions), (2, Some(3)));
}

// Guards against a repeat that runs without credit.
#[test]
fn repeat_without_credit_is_refused() {
    let outcome = fixture::with_admission(true, |admission| async move {
        admission.acquire(fixture::entry(0, true)).await
    });

    assert_eq!(outcome.unwrap_err().0.code, code::Code::RetryBudget);
}

// Guards against credit that is charged for a request that never left the node.
#[test]
fn request_that_was_not_sent_costs_nothing() {
    let summary = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(2, true)).await.unwrap();
        admission.release(&permit, message::End::NotRun).await
    });

    assert_eq!((summary.credit, summary.executions), (2, Some(0)));
}

// Guards against new requests at a target that is draining or gone.
#[test]
fn leaving_and_missing_targets_refuse() {
    let codes = fixture::with_admission(true, |admission| async move {
        admission.announce(target::State::Draining).await;
        let draining = admission.acquire(fixture::entry(3, false)).await;
        let gone = fixture::target("guiones", target::State::Draining);
        let message = message::Message::Target(gone, None);
        admission.address.send(message).await.unwrap();
        let gone = admission.acquire(fixture::entry(3, false)).await;
        [draining, gone].map(|outcome| outcome.unwrap_err().0.code)
    });

    assert_eq!(codes, [code::Code::Draining, code::Code::NoTarget]);
}

// Guards against a node with decisions off, the baseline of experiments, that still
// limits concurrency or charges credit.
#[test]
fn baseline_lets_everything_run() {
    let running = fixture::with_admission(false, |admission| async move {
        let asked = (0..500).map(|_| admission.acquire(fixture::entry(0, true)));
        let outcomes = futures::future::join_all(asked).await;
        outcomes.iter().filter(|outcome| outcome.is_ok()).count()
    });

    assert_eq!(running, 500);
}

// Guards against short requests that are refused as too late, because long ones run at the
// same target.
#[test]
fn long_requests_do_not_make_short_ones_too_late() {
    let long = message::End::Answered(Duration::from_secs(1));
    let short = message::End::Answered(Duration::from_millis(65));

    let permit = fixture::with_admission(true, |admission| async move {
        for (route, end) in [("short", short), ("long", long), ("long", long)] {
            let permit = admission.acquire(fixture::entry_of(route, 5000)).await;
            admission.release(&permit.unwrap(), end).await;
        }
        let running = admission.acquire(fixture::entry_of("long", 5000)).await;
        let permit = admission.acquire(fixture::entry_of("short", 700)).await;
        drop(running);
        permit
    });

    assert!(permit.is_ok(), "{permit:?}");
}

// Guards against requests to a target that fails them all, and against a service without
// targets once each of them fails.
#[test]
fn failing_target_gets_only_requests_that_insist() {
    let (refused, insisting) = fixture::with_admission(true, |admission| async move {
        for _ in 0..5 {
            let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
            let failed = message::End::Failed(Duration::from_millis(10));
            admission.release(&permit, failed).await;
        }
        let refused = admission.acquire(fixture::entry(3, false)).await;
        let insisting = entry::Entry {
            insists: true,
            ..fixture::entry(3, false)
        };
        (refused, admission.acquire(insisting).await)
    });

    let (refusal, _) = refused.unwrap_err();
    assert_eq!(refusal.code, code::Code::TargetEjected);
    assert!(insisting.is_ok(), "{insisting:?}");
}

// Guards against a target that is left out because a service that it calls fails.
#[test]
fn errors_after_failed_calls_do_not_eject_a_target() {
    let (summaries, next) = fixture::with_admission(true, |admission| async move {
        let mut summaries = Vec::new();
        for _ in 0..10 {
            let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
            admission
                .address
                .send(message::Message::CallFailed)
                .await
                .unwrap();
            let end = message::End::Errored(Duration::from_millis(10));
            summaries.push(admission.release(&permit, end).await);
        }
        (summaries, admission.acquire(fixture::entry(3, false)).await)
    });

    assert!(summaries.iter().all(|summary| summary.call_failed));
    assert!(next.is_ok(), "{next:?}");
}

// Guards against a target that is left out because it gives up calls that are not answered.
#[test]
fn call_that_the_target_gives_up_has_failed() {
    let summaries = fixture::with_admission(true, |admission| async move {
        let mut summaries = Vec::new();
        for gives_up in [true, false] {
            let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
            let mut watch = watch::Watch::new(&admission.address, true);
            if !gives_up {
                watch.succeed();
            }
            drop(watch);
            let end = message::End::Errored(Duration::from_millis(10));
            summaries.push(admission.release(&permit, end).await);
        }
        summaries
    });

    let call_failed = summaries.iter().map(|summary| summary.call_failed);
    assert!(call_failed.eq([true, false]), "{summaries:?}");
}

// Guards against a slow target that is left out before its first answer.
#[test]
fn target_is_not_silent_before_its_service_time_is_known() {
    let second = fixture::with_admission(true, |admission| async move {
        let first = admission.acquire(fixture::entry_of("slow", 5000)).await;
        monoio::time::sleep(Duration::from_millis(1200)).await;
        let second = admission.acquire(fixture::entry_of("slow", 5000)).await;
        drop(first);
        second
    });

    assert!(second.is_ok(), "{second:?}");
}
