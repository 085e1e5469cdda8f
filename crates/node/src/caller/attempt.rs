//! One attempt of a request, at a local target or through the node of a remote one.

use std::time::{Duration, Instant};

use masticarch_model::{code, ran};
use masticarch_wire::http::request;

use crate::admission::{entry, summary};
use crate::gate::{admission, choice, report};
use crate::peer::exchange;
use crate::protocol::Protocol;
use crate::target::{job, run};
use crate::{refusal, services};

/// Time for which the entry node waits past the deadline, so that the node of the
/// target notices the deadline first and its reply still arrives.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Makes one attempt. The local and the remote way are boxed, because moving a future
/// that has space for both costs more than the allocation.
pub async fn make<P: Protocol>(
    services: &services::Services,
    admission: &admission::Admission,
    choice: &choice::Choice,
    request: &request::Request,
) -> job::Outcome {
    let limit = Instant::now() + choice.timeout;
    let job = job::Job {
        entry: entry::Entry {
            service: admission.service.clone(),
            route: admission.route.clone(),
            root: admission.root.clone(),
            team: admission.team.clone(),
            weight: admission.weight,
            rank: admission.rank,
            deadline: admission.deadline.min(limit),
            credit: choice.credit,
            repeat: choice.repeat,
            caller: services.options.service.clone(),
            rate_limit: choice.rate_limit,
            leaving: choice.leaving.clone(),
            insists: choice.insists,
        },
        request: request.clone(),
    };
    let Some(address) = choice.peer else {
        return Box::pin(run::run::<P>(services, job)).await;
    };
    let limit = monoio::time::Instant::from_std(job.entry.deadline + REPLY_MARGIN);
    let exchange = Box::pin(exchange::run(services, address, admission, job));
    monoio::time::timeout_at(limit, exchange)
        .await
        .unwrap_or_else(|_| job::Outcome::refused(timed_out()))
}

/// The report on an attempt for the gate.
#[must_use]
pub fn report(outcome: &job::Outcome, latency: Duration) -> report::Report {
    let summary: Option<summary::Summary> = outcome.summary;
    let refusal = outcome.result.as_ref().err();
    report::Report {
        failure: refusal.map(|refusal| refusal.code),
        status: outcome
            .result
            .as_ref()
            .ok()
            .map(|answer| answer.status.as_u16()),
        ran: refusal.map_or(ran::Ran::Yes, |refusal| refusal.ran),
        latency,
        credit: summary.map_or(0, |summary| summary.credit),
        executions: summary.and_then(|summary| summary.executions),
        overload: summary.map(|summary| summary.overload),
        limit: summary.map(|summary| (summary.limit, summary.in_flight)),
        rate_limit: summary.and_then(|summary| summary.rate_limit),
        leaving: outcome.leaving.clone(),
        call_failed: summary.is_some_and(|summary| summary.call_failed),
    }
}

fn timed_out() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::TargetTimeout,
        "the target's node did not answer before the deadline",
    )
}
