//! Runs a job at a target beside this node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{code, name, ran};
use masticarch_wire::http::{answer, connection, fault, fields};
use masticarch_wire::socket;

use super::{guard, instance, job, message, pool};
use crate::admission::{message as admission, permit};
use crate::protocol::{Protocol, class, delivery, notice};
use crate::quarantine::watch;
use crate::{refusal, services};

/// Time before a target closes an idle connection from which on the connection is no
/// longer used, because a request could cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Most answers to other requests that are skipped on one connection.
const MAX_MISMATCHED_ANSWERS: usize = 4;

/// Runs a job: waits for a permit of admission, exchanges one request and one whole
/// answer with the target, and releases the permit. Dropping the future cancels the job.
pub async fn run<P: Protocol>(services: &services::Services, job: job::Job) -> job::Outcome {
    let started = Instant::now();
    if job.entry.leaving.is_some() {
        mark_leaving(services, &job.entry.service, job.entry.leaving.clone()).await;
    }
    let watch = match watch::Watch::begin(services, job).await {
        Ok(watch) => watch,
        Err(refusal) => return job::Outcome::refused(refusal),
    };
    let entry = Box::new(watch.job.entry.clone());
    let acquire = |reply| admission::Message::Acquire(entry, reply);
    let permit = match services.admission.ask(acquire).await {
        Ok(Ok(permit)) => permit,
        Ok(Err((refusal, summary))) => {
            return job::Outcome {
                summary: Some(summary),
                ..job::Outcome::refused(refusal)
            };
        }
        Err(_) => return job::Outcome::refused(refusal::Refusal::draining()),
    };
    services.metrics.queued(started.elapsed());
    execute::<P>(services, watch, permit).await
}

async fn execute<P: Protocol>(
    services: &services::Services,
    mut watch: watch::Watch,
    permit: permit::Permit,
) -> job::Outcome {
    let mut guard = guard::Guard::new(services.admission.clone(), permit.call);
    watch.job.entry.deadline = permit.deadline;
    let deadline = monoio::time::Instant::from_std(permit.deadline);
    let exchange = exchange::<P>(services, &mut guard, &permit, &mut watch);
    let (result, end) = match monoio::time::timeout_at(deadline, exchange).await {
        Ok(Ok(answer)) if answer.status.is_server_error() => (Ok(answer), guard.errored()),
        Ok(Ok(answer)) => (Ok(answer), guard.answered()),
        Ok(Err(refusal)) => {
            let end = failed_end(&guard, &refusal);
            (Err(refusal), end)
        }
        Err(_) => (Err(timed_out(&guard)), guard.cancelled()),
    };
    let leaving = guard.leaving();
    let summary = guard.end(end).await;
    job::Outcome {
        result,
        summary,
        leaving,
    }
}

/// The end of a call that was refused, or got no whole answer.
fn failed_end(guard: &guard::Guard, refusal: &refusal::Refusal) -> admission::End {
    match (refusal.code, guard.failed()) {
        (code::Code::TargetRefused, _) => guard.refused(),
        (code::Code::TargetFailed, admission::End::NotRun) => admission::End::Unreachable,
        (_, end) => end,
    }
}

async fn exchange<P: Protocol>(
    services: &services::Services,
    guard: &mut guard::Guard,
    permit: &permit::Permit,
    watch: &mut watch::Watch,
) -> Result<answer::Answer, refusal::Refusal> {
    let address = permit.address;
    let mut slot = checkout(services, address).await?;
    let kept = slot.connection.take();
    let reused = kept.is_some();
    let mut connection = match kept {
        Some(connection) => connection,
        // Boxed, because the future that opens a connection is large and rarely needed.
        None => match Box::pin(open(address)).await {
            Ok(connection) => connection,
            Err(refusal) => {
                watch.report_unreachable().await;
                return Err(refusal);
            }
        },
    };
    let job = &mut watch.job;
    let delivery = delivery::Delivery {
        entry: &job.entry,
        permit,
        instance: slot.instance.as_deref().map(|instance| &*instance.id),
    };
    fields::strip_internal(&mut job.request.headers);
    P::set_target_headers(&mut job.request, &delivery);
    guard.mark_sent();
    watch.mark_sent();
    let limits = services.target_limits();
    let exchanged = connection.exchange(&watch.job.request, &limits).await;
    let run = || slot.instance.as_deref().map(instance::Instance::run);
    let mut answer = match exchanged {
        Ok(answer) => answer,
        Err(failure) => {
            if is_lost(&failure) {
                watch.report_lost(address, run()).await;
            }
            return Err(refusal::Refusal::from(&failure));
        }
    };
    let job = &watch.job;
    let mut class = P::classify(&job.request, &answer, reused);
    if class == class::Class::Mismatched {
        (answer, class) = matching_answer::<P>(services, &mut connection, job).await?;
    }
    if class != class::Class::Mismatched {
        record_notice(
            services,
            guard,
            P::notice(&answer),
            &job.entry.service,
            run(),
        )
        .await;
        watch.mark_answered();
    }
    if answer.keep_alive {
        slot.connection = Some(connection);
        slot.expires = fields::idle_timeout(&answer.headers)
            .and_then(|timeout| Instant::now().checked_add(timeout.saturating_sub(IDLE_MARGIN)));
        let checkin = message::Message::Checkin(address, slot);
        let _ = services.target.send(checkin).await;
    }
    fields::strip_hop_by_hop(&mut answer.headers);
    fields::strip_internal(&mut answer.headers);
    match class {
        class::Class::Ran => Ok(answer),
        class::Class::NotRun => Err(refusal::Refusal::new(
            code::Code::TargetRefused,
            "the target has refused the request",
        )),
        class::Class::Mismatched => Err(mismatched()),
    }
}

/// Records what the target states in its answer. `run` identifies the run that the
/// connection leads to.
async fn record_notice(
    services: &services::Services,
    guard: &mut guard::Guard,
    notice: notice::Notice,
    service: &name::Name,
    run: Option<Box<str>>,
) {
    if notice.leaving {
        mark_leaving(services, service, run.clone()).await;
    }
    guard.record_notice(notice, run);
}

async fn mark_leaving(services: &services::Services, service: &name::Name, run: Option<Box<str>>) {
    let leaving = |reply| message::Message::Leaving(service.clone(), run, reply);
    let _ = services.target.ask(leaving).await;
}

/// Reads further answers until that to the request of this job arrives. The connection
/// is not used again.
async fn matching_answer<P: Protocol>(
    services: &services::Services,
    connection: &mut pool::Connection,
    job: &job::Job,
) -> Result<(answer::Answer, class::Class), refusal::Refusal> {
    let limits = services.target_limits();
    for _ in 0..MAX_MISMATCHED_ANSWERS {
        let read = connection.receive_answer(&job.request.method, &limits);
        let mut answer = read.await.map_err(|_| mismatched())?;
        let class = P::classify(&job.request, &answer, true);
        if class != class::Class::Mismatched {
            answer.keep_alive = false;
            return Ok((answer, class));
        }
    }
    Err(mismatched())
}

fn mismatched() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::TargetFailed,
        "the target sent an answer to another request",
    )
}

async fn checkout(
    services: &services::Services,
    address: SocketAddr,
) -> Result<pool::Slot, refusal::Refusal> {
    let checkout = |reply| message::Message::Checkout(address, reply);
    match services.target.ask(checkout).await {
        Ok(Some(slot)) => Ok(slot),
        Ok(None) => Err(refusal::Refusal::new(
            code::Code::Overloaded,
            "every connection that the target accepts is in use",
        )),
        Err(_) => Err(refusal::Refusal::draining()),
    }
}

/// Whether a target has closed the connection on which it may have run a request.
fn is_lost(failure: &connection::Failure) -> bool {
    failure.sent
        && matches!(
            failure.fault,
            fault::Fault::Closed | fault::Fault::Truncated
        )
}

async fn open(address: SocketAddr) -> Result<pool::Connection, refusal::Refusal> {
    let stream = socket::connect(address).await;
    stream
        .map(connection::Connection::new)
        .map_err(|_| refusal::Refusal {
            ran: ran::Ran::No,
            ..refusal::Refusal::new(code::Code::TargetFailed, "the target accepts no connection")
        })
}

fn timed_out(guard: &guard::Guard) -> refusal::Refusal {
    match guard.cancelled() {
        admission::End::NotRun => refusal::Refusal::new(
            code::Code::DeadlineExceeded,
            "the deadline passed before the request was sent",
        ),
        _ => refusal::Refusal::new(
            code::Code::TargetTimeout,
            "the target did not answer before the deadline",
        ),
    }
}
