//! Runs a job at a target beside this node.

use std::net::SocketAddr;
use std::time::Instant;

use masticarch_model::{code, ran};
use masticarch_wire::http::{answer, connection, fields, request};
use masticarch_wire::socket;

use super::{call, headers, job, message, pool};
use crate::admission::{message as admission, permit};
use crate::{refusal, services};

/// Runs a job: waits for admission, exchanges one request and one whole answer
/// with the target, and tells admission how it ended. Dropping the future
/// cancels the job.
pub async fn run(services: &services::Services, job: job::Job) -> job::Outcome {
    let entered = Instant::now();
    let entry = Box::new(job.entry.clone());
    let enter = |slot| admission::Message::Enter(entry, slot);
    let permit = match services.admission.ask(enter).await {
        Ok(Ok(permit)) => permit,
        Ok(Err((refusal, summary))) => {
            return job::Outcome {
                result: Err(refusal),
                summary: Some(summary),
            };
        }
        Err(_) => return job::Outcome::refused(refusal::Refusal::draining()),
    };
    services.metrics.queued(entered.elapsed());
    admitted(services, job, permit).await
}

async fn admitted(
    services: &services::Services,
    mut job: job::Job,
    permit: permit::Permit,
) -> job::Outcome {
    let mut call = call::Call::new(services.admission.clone(), permit.call);
    headers::write(&mut job.request, &job.entry, &permit);
    let deadline = monoio::time::Instant::from_std(job.entry.deadline);
    let exchange = exchange(services, &mut call, permit.address, &job.request);
    let (result, end) = match monoio::time::timeout_at(deadline, exchange).await {
        Ok(Ok(answer)) => (Ok(answer), call.answered()),
        Ok(Err(refusal)) => (Err(refusal), call.failed()),
        Err(_) => (Err(late(&call)), call.cancelled()),
    };
    let summary = call.end(end).await;
    job::Outcome { result, summary }
}

async fn exchange(
    services: &services::Services,
    call: &mut call::Call,
    address: SocketAddr,
    request: &request::Request,
) -> Result<answer::Answer, refusal::Refusal> {
    let mut slot = checkout(services, address).await?;
    let mut connection = match slot.connection.take() {
        Some(connection) => connection,
        // Boxed, as the less frequent way takes more space than the other.
        None => Box::pin(open(address)).await?,
    };
    call.sending();
    let exchanged = connection.exchange(request, &services.answer_space()).await;
    let mut answer = exchanged.map_err(|failure| refusal::Refusal::from(&failure))?;
    if answer.keep_alive {
        slot.connection = Some(connection);
        let message = message::Message::Checkin(address, slot);
        let _ = services.target.send(message).await;
    }
    fields::strip_hop_by_hop(&mut answer.headers);
    fields::strip_internal(&mut answer.headers);
    Ok(answer)
}

async fn checkout(
    services: &services::Services,
    address: SocketAddr,
) -> Result<pool::Slot, refusal::Refusal> {
    let checkout = |slot| message::Message::Checkout(address, slot);
    match services.target.ask(checkout).await {
        Ok(Some(slot)) => Ok(slot),
        Ok(None) => Err(refusal::Refusal::new(
            code::Code::Overloaded,
            "every connection that the target accepts is in use",
        )),
        Err(_) => Err(refusal::Refusal::draining()),
    }
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

fn late(call: &call::Call) -> refusal::Refusal {
    match call.cancelled() {
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
