//! Decisions of the gate, at the node where a request enters the fleet.

mod fixture;

use std::time::{Duration, Instant};

use masticarch_model::{code, ran};
use masticarch_node::gate::{choice, message, report, request};
use masticarch_node::{origin, refusal};

fn code_of<T>(outcome: Result<T, refusal::Refusal>) -> Option<code::Code> {
    outcome.err().map(|refusal| refusal.code)
}

fn refused(choice: &choice::Choice) -> report::Report {
    report::Report {
        failure: Some(code::Code::Overloaded),
        status: None,
        ran: ran::Ran::No,
        executions: Some(0),
        ..fixture::answered(choice)
    }
}

fn failed(choice: &choice::Choice) -> report::Report {
    report::Report {
        failure: Some(code::Code::TargetFailed),
        status: None,
        ran: ran::Ran::Unknown,
        credit: 0,
        executions: None,
        ..fixture::answered(choice)
    }
}

/// The report on an attempt whose target states a rate limit and that it is leaving.
fn stating(choice: &choice::Choice) -> report::Report {
    report::Report {
        limit: Some((10, 1)),
        rate_limit: Some(5.0),
        leaving: Some("1-i".into()),
        ..fixture::answered(choice)
    }
}

/// The report on an attempt that the target itself has refused.
fn refused_by_target(choice: &choice::Choice) -> report::Report {
    report::Report {
        failure: Some(code::Code::TargetRefused),
        ..refused(choice)
    }
}

// Guards against requests that run for a team without a valid key of that team.
#[test]
fn keys_are_checked_on_routes_with_teams() {
    let mut forged = fixture::secret(1).reveal();
    forged.replace_range(forged.len() - 1.., "f");
    let cases = [
        (fixture::request("/alertas", None), code::Code::NoKey),
        (
            fixture::request("/alertas", Some("mk_")),
            code::Code::UnknownKey,
        ),
        (
            fixture::request("/alertas", Some(&forged)),
            code::Code::UnknownKey,
        ),
        (fixture::keyed("/alertas", 200), code::Code::UnknownKey),
        (fixture::keyed("/alertas", 9), code::Code::KeyWithdrawn),
        (fixture::keyed("/alertas", 5), code::Code::WrongTeam),
        (fixture::keyed("/other", 1), code::Code::NoRoute),
    ];

    let codes = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        let mut codes = Vec::new();
        for (request, expected) in cases {
            codes.push((code_of(gate.begin(request).await), Some(expected)));
        }
        codes
    });

    for (actual, expected) in codes {
        assert_eq!(actual, expected);
    }
}

// Guards against a withdrawn key that is still accepted at a node that is cut off from
// control, and against a refusal on open routes there.
#[test]
fn node_that_is_not_current_serves_open_routes_only() {
    let view = fixture::view(1, 2);
    let (keyed, open) = fixture::with_gate(true, &fixture::view(0, 0), |gate| async move {
        let old = Instant::now().checked_sub(Duration::from_secs(6)).unwrap();
        gate.install(&view, old).await;
        // The fixture confirmed the empty directory just now; that confirmation is too old
        // once this sleep ends.
        monoio::time::sleep(Duration::from_millis(5050)).await;
        let keyed = gate.begin(fixture::keyed("/alertas", 1)).await;
        let open = gate.begin(fixture::request("/open", None)).await;
        (keyed, open)
    });

    assert_eq!(code_of(keyed), Some(code::Code::NotCurrent));
    assert!(open.is_ok());
}

// Guards against a team that exceeds its rate, and against a first request that is
// refused although a share was granted while it waited.
#[test]
fn rate_is_held_and_first_request_waits_for_its_share() {
    let (reported, first, second) =
        fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
            gate.reports().await;
            let owner = gate.clone();
            let lease = monoio::spawn(async move {
                let reports = owner.reports().await;
                owner.grant(1, 0.1, 1.0).await;
                reports
            });
            let first = gate.begin(fixture::keyed("/alertas", 1)).await;
            let second = gate.begin(fixture::keyed("/alertas", 1)).await;
            (lease.await, first, second)
        });

    assert_eq!(reported.len(), 1);
    assert!(first.is_ok());
    let refusal = second.unwrap_err();
    assert_eq!(refusal.code, code::Code::OverRate);
    assert_eq!(refusal.team, Some("team-1".into()));
}

// Guards against a team that is told to be over its rate by a node that does not
// know its share.
#[test]
fn request_without_a_lease_is_refused_as_not_current() {
    let outcome = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        gate.begin(fixture::keyed("/alertas", 1)).await
    });

    assert_eq!(code_of(outcome), Some(code::Code::NotCurrent));
}

// Guards against a lease service that polls, or that waits for the next renewal although
// a team has no share.
#[test]
fn reports_wait_until_something_is_urgent() {
    let (urgent, regular) = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        gate.reports().await;
        let asked = Instant::now();
        let caller = gate.clone();
        monoio::spawn(async move { caller.begin(fixture::keyed("/alertas", 1)).await });
        gate.reports().await;
        let urgent = asked.elapsed();
        gate.grant(1, 10.0, 10.0).await;
        let asked = Instant::now();
        gate.reports().await;
        (urgent, asked.elapsed())
    });

    assert!(urgent < Duration::from_millis(100), "{urgent:?}");
    assert!(regular > Duration::from_millis(900), "{regular:?}");
}

// Guards against more attempts than the retry credit of the route allows.
#[test]
fn attempts_are_bounded_by_credit() {
    let (attempts, total) = fixture::with_gate(true, &fixture::view(1, 8), |gate| async move {
        let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
        let mut choice = admission.choice.clone();
        let mut attempts = 1;
        while let Some(next) = gate.next(&admission, refused(&choice)).await {
            choice = next;
            attempts += 1;
        }
        (attempts, gate.end(&admission, Some(refused(&choice))).await)
    });

    assert_eq!(attempts, 4);
    assert_eq!(total.credit, 0);
    assert_eq!(total.executions, Some(0));
}

// Guards against a non-idempotent request that runs twice.
#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    let (after_failure, after_refusal) =
        fixture::with_gate(true, &fixture::view(1, 8), |gate| async move {
            gate.grant(1, 10.0, 10.0).await;
            let first = gate.begin(fixture::keyed("/alertas", 1)).await.unwrap();
            let second = gate.begin(fixture::keyed("/alertas", 1)).await.unwrap();
            let after_failure = gate.next(&first, failed(&first.choice)).await;
            let after_refusal = gate.next(&second, refused(&second.choice)).await;
            (after_failure, after_refusal)
        });

    assert!(after_failure.is_none());
    assert!(after_refusal.is_some());
}

// Guards against retries at the target that has just failed.
#[test]
fn retry_goes_to_another_target_with_the_repeat_mark() {
    for _ in 0..20 {
        let (first, second) = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
            let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
            let next = gate.next(&admission, failed(&admission.choice)).await;
            (admission.choice, next.unwrap())
        });

        assert_ne!(first.node, second.node);
        assert!(second.repeat);
        assert_eq!((first.credit, second.credit), (2, 1));
    }
}

// Guards against retries that flood the only target, which has just refused the
// request for lack of capacity.
#[test]
fn overloaded_target_is_not_tried_again() {
    let next = fixture::with_gate(true, &fixture::view(1, 1), |gate| async move {
        let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
        gate.next(&admission, refused(&admission.choice)).await
    });

    assert!(next.is_none(), "{next:?}");
}

// Guards against a request that fails because one target is too slow for it, although
// another one is not.
#[test]
fn request_that_is_too_late_for_one_target_goes_to_another() {
    let (first, second) = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
        let first = admission.choice.clone();
        let report = report::Report {
            failure: Some(code::Code::DeadlineExceeded),
            ..refused(&first)
        };
        (first, gate.next(&admission, report).await)
    });

    let second = second.expect("another target is tried");
    assert_ne!(first.node, second.node);
}

// Guards against a request that reaches the same target twice: the target may repeat its
// refusal of the first attempt, which names the id of the second one as well.
#[test]
fn target_that_refused_a_request_is_not_tried_again() {
    let next = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
        let first = admission.choice.clone();
        let second = gate.next(&admission, refused_by_target(&first)).await;
        let second = second.unwrap();
        let third = gate.next(&admission, refused_by_target(&second)).await;
        (first.node, second.node, third)
    });

    assert_ne!(next.0, next.1);
    assert!(next.2.is_none(), "{next:?}");
}

// Guards against a new directory that resets the state of targets, so that ejected ones
// get requests again after every change of configuration.
#[test]
fn ejection_outlives_a_new_directory() {
    let nodes = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        for _ in 0..40 {
            let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
            let fails = admission.choice.node.as_str() == "node-1";
            let report = if fails {
                failed(&admission.choice)
            } else {
                fixture::answered(&admission.choice)
            };
            gate.end(&admission, Some(report)).await;
        }
        gate.install(&fixture::view(2, 2), Instant::now()).await;
        let mut nodes = Vec::new();
        for _ in 0..20 {
            let admission = gate.begin(fixture::request("/open", None)).await.unwrap();
            nodes.push(admission.choice.node.to_string());
        }
        nodes
    });

    assert_eq!(nodes, vec!["node-0"; 20]);
}

// Guards against dispatching requests that every target would refuse, and against
// refusing the highest priority with them.
#[test]
fn sheds_early_when_every_target_sheds_the_rank() {
    let (normal, urgent) = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        gate.grant(1, 1000.0, 1000.0).await;
        let mut normal = Vec::new();
        for _ in 0..200 {
            match gate.begin(fixture::keyed("/guiones", 1)).await {
                Ok(admission) => {
                    let mut report = refused(&admission.choice);
                    report.overload = Some(0);
                    gate.end(&admission, Some(report)).await;
                }
                Err(refusal) => normal.push(refusal.code),
            }
        }
        (normal, gate.begin(fixture::keyed("/alertas", 1)).await)
    });

    assert!(normal.len() > 100, "{}", normal.len());
    assert!(normal.iter().all(|code| *code == code::Code::Overloaded));
    assert!(urgent.is_ok());
}

// Guards against refusals for lack of capacity that use up a team's rate.
#[test]
fn request_without_a_target_costs_no_token() {
    let codes = fixture::with_gate(true, &fixture::view(1, 0), |gate| async move {
        gate.grant(1, 0.1, 1.0).await;
        let mut codes = Vec::new();
        for _ in 0..3 {
            codes.push(code_of(gate.begin(fixture::keyed("/alertas", 1)).await));
        }
        codes
    });

    assert_eq!(codes, [Some(code::Code::NoTarget); 3]);
}

// Guards against a sub-call that does not inherit the deadline, rank, team or credit of
// its root request, or that costs another token.
#[test]
fn sub_call_inherits_from_its_parent() {
    let admission = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
        admission.begin_sub_call(&permit.context).await.unwrap()
    });
    let parent = admission.clone();
    let request = request::Request {
        origin: origin::Origin::SubCall(admission),
        ..fixture::request("/alertas", None)
    };

    let (sub_call, drained) = fixture::with_gate(true, &fixture::view(1, 2), |gate| async move {
        let sub_call = gate.begin(request).await.unwrap();
        gate.address.send(message::Message::Drain).await.unwrap();
        let drained = gate.begin(fixture::keyed("/alertas", 1)).await;
        (sub_call, drained)
    });

    assert_eq!(sub_call.root, parent.root);
    assert_eq!(sub_call.team, parent.team);
    assert_eq!(sub_call.rank, 1);
    assert!(sub_call.deadline <= parent.deadline);
    assert_eq!(sub_call.choice.credit, 1);
    assert_eq!(code_of(drained), Some(code::Code::Draining));
}

// Guards against a node that fails a running request by refusing its sub-calls while it
// drains or is cut off from control.
#[test]
fn sub_calls_of_running_requests_go_on_while_draining_and_not_current() {
    let parent = fixture::with_admission(true, |admission| async move {
        let permit = admission.acquire(fixture::entry(3, false)).await.unwrap();
        let parent = admission.begin_sub_call(&permit.context).await.unwrap();
        origin::Parent {
            deadline: Instant::now() + Duration::from_mins(1),
            ..parent
        }
    });
    let sub_call = request::Request {
        origin: origin::Origin::SubCall(parent),
        ..fixture::request("/alertas", None)
    };
    let view = fixture::view(1, 2);

    let outcome = fixture::with_gate(true, &fixture::view(0, 0), |gate| async move {
        let old = Instant::now().checked_sub(Duration::from_secs(6)).unwrap();
        gate.install(&view, old).await;
        // The fixture confirmed the empty directory just now; that confirmation is too old
        // once this sleep ends.
        monoio::time::sleep(Duration::from_millis(5050)).await;
        gate.address.send(message::Message::Drain).await.unwrap();
        gate.begin(sub_call).await
    });

    assert!(outcome.is_ok(), "{outcome:?}");
}

// Guards against a node with decisions off, the baseline of experiments, that differs
// from a usual proxy.
#[test]
fn baseline_tries_three_times_on_any_failure_without_a_rate() {
    let attempts = fixture::with_gate(false, &fixture::view(1, 8), |gate| async move {
        let admission = gate.begin(fixture::keyed("/alertas", 1)).await.unwrap();
        let mut choice = admission.choice.clone();
        let mut attempts = 1;
        while let Some(next) = gate.next(&admission, failed(&choice)).await {
            choice = next;
            attempts += 1;
        }
        attempts
    });

    assert_eq!(attempts, 3);
}

// Guards against refusals between the start of a node and its first configuration.
#[test]
fn request_waits_for_the_first_configuration() {
    let view = fixture::view(1, 2);
    let outcome = fixture::with_new_gate(true, |gate| async move {
        let caller = gate.clone();
        let early =
            monoio::spawn(async move { caller.begin(fixture::request("/open", None)).await });
        monoio::time::sleep(Duration::from_millis(50)).await;
        gate.install(&view, Instant::now()).await;
        early.await
    });

    assert!(outcome.is_ok());
}

// Guards against a request that waits past its deadline when no configuration comes.
#[test]
fn request_does_not_wait_for_ever_for_the_first_configuration() {
    let (outcome, waited) = fixture::with_new_gate(true, |gate| async move {
        let begun = Instant::now();
        let mut request = fixture::request("/open", None);
        request.remaining = Some(Duration::from_millis(200));
        (gate.begin(request).await, begun.elapsed())
    });

    assert_eq!(code_of(outcome), Some(code::Code::NotCurrent));
    assert!(waited < Duration::from_millis(200), "{waited:?}");
}

// Guards against a target that refused once as draining and is never chosen again, because
// another run has replaced the leaving one before the directory could show it.
#[test]
fn target_that_refused_as_draining_is_tried_again() {
    let (first, later) = fixture::with_gate(true, &fixture::view(1, 1), |gate| async move {
        let request = || fixture::request("/open", None);
        let admission = gate.begin(request()).await.unwrap();
        let draining = report::Report {
            failure: Some(code::Code::Draining),
            ..refused(&admission.choice)
        };
        gate.end(&admission, Some(draining)).await;
        let first = code_of(gate.begin(request()).await);
        monoio::time::sleep(Duration::from_millis(300)).await;
        (first, code_of(gate.begin(request()).await))
    });

    assert_eq!(first, Some(code::Code::NoTarget));
    assert_eq!(later, None);
}

// Guards against a statement of a target that is forgotten because an answer to an earlier
// request, on another connection, arrives after it.
#[test]
fn overtaken_answer_does_not_end_a_statement() {
    let choice = fixture::with_gate(true, &fixture::view(1, 1), |gate| async move {
        let request = || fixture::request("/open", None);
        let early = gate.begin(request()).await.unwrap();
        monoio::time::sleep(Duration::from_millis(20)).await;
        let late = gate.begin(request()).await.unwrap();
        let overtaken = report::Report {
            latency: Duration::from_millis(60),
            limit: Some((10, 1)),
            ..fixture::answered(&early.choice)
        };
        gate.end(&late, Some(stating(&late.choice))).await;
        gate.end(&early, Some(overtaken)).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        gate.begin(request()).await.unwrap().choice
    });

    assert_eq!(choice.rate_limit, Some(5.0));
    assert_eq!(choice.leaving.as_deref(), Some("1-i"));
}

// Guards against a rate limit that is forgotten because the target's node has restarted
// and refuses requests before it knows what the target states.
#[test]
fn refusal_of_a_restarted_node_does_not_end_a_statement() {
    let choice = fixture::with_gate(true, &fixture::view(1, 1), |gate| async move {
        let request = || fixture::request("/open", None);
        let first = gate.begin(request()).await.unwrap();
        gate.end(&first, Some(stating(&first.choice))).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        let second = gate.begin(request()).await.unwrap();
        let without_target = report::Report {
            limit: Some((0, 0)),
            ..refused(&second.choice)
        };
        gate.end(&second, Some(without_target)).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        gate.begin(request()).await.unwrap().choice
    });

    assert_eq!(choice.rate_limit, Some(5.0));
    assert_eq!(choice.leaving.as_deref(), Some("1-i"));
}

// Guards against a statement that outlives the run that made it.
#[test]
fn later_answer_ends_a_statement() {
    let choice = fixture::with_gate(true, &fixture::view(1, 1), |gate| async move {
        let request = || fixture::request("/open", None);
        let first = gate.begin(request()).await.unwrap();
        gate.end(&first, Some(stating(&first.choice))).await;
        monoio::time::sleep(Duration::from_millis(300)).await;
        let second = gate.begin(request()).await.unwrap();
        let silent = report::Report {
            limit: Some((10, 1)),
            ..fixture::answered(&second.choice)
        };
        gate.end(&second, Some(silent)).await;
        gate.begin(request()).await.unwrap().choice
    });

    assert_eq!(choice.rate_limit, None);
    assert_eq!(choice.leaving, None);
}
