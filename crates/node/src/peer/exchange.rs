//! Client side of requests between nodes.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures::future::Either;
use http::{Method, Uri};
use masticarch_model::{code, ran};
use masticarch_wire::http::{answer, connection, request};
use masticarch_wire::message;

use super::headers;
use crate::gate::admission;
use crate::links::{message as links, open};
use crate::target::job;
use crate::{race, refusal, services};

/// Largest body of an answer of another node's ledger.
const MAX_LEDGER_ANSWER_BYTES: usize = 4096;

/// Runs a job at a target of another node, through that node. Dropping the future
/// closes the connection, which cancels the job there.
pub async fn run(
    services: &services::Services,
    address: SocketAddr,
    admission: &admission::Admission,
    mut job: job::Job,
) -> job::Outcome {
    headers::write_entry(&mut job.request, &job.entry, &admission.route);
    let space = services.answer_space();
    match send(services, address, &job.request, &space).await {
        Ok(answer) => headers::read_outcome(answer),
        Err(refusal) => job::Outcome::refused(refusal),
    }
}

/// Sends an operation to the ledger of another node; `None` when no valid reply
/// arrives.
pub async fn ledger(
    services: &services::Services,
    address: SocketAddr,
    operation: &message::ledger::Request,
) -> Option<message::ledger::Reply> {
    let body = Bytes::from(message::encode(operation));
    let request = request::Request::new(Method::POST, Uri::from_static("/ledger"), body);
    let space = services.space(MAX_LEDGER_ANSWER_BYTES);
    let answer = send(services, address, &request, &space).await.ok()?;
    message::decode(&answer.body).ok()
}

/// Sends a request to another node on a pooled or a new connection and returns the
/// answer.
async fn send(
    services: &services::Services,
    address: SocketAddr,
    request: &request::Request,
    space: &connection::BodyLimits,
) -> Result<answer::Answer, refusal::Refusal> {
    let checkout = |slot| links::Message::Checkout(address, slot);
    let Ok(checked_out) = services.links.ask(checkout).await else {
        return Err(refusal::Refusal::draining());
    };
    let mut pooled = match checked_out.connection {
        Some(pooled) => pooled,
        // Boxed, because the future that opens a connection is large and rarely needed.
        None => Box::pin(open(services, address)).await?,
    };
    let exchange = pooled.connection.exchange(request, space);
    let answer = match race::race(exchange, checked_out.silent.wait()).await {
        Either::Left(answer) => answer.map_err(|failure| refusal::Refusal::from(&failure))?,
        Either::Right(()) => return Err(silent_node()),
    };
    if answer.keep_alive {
        let checkin = links::Message::Checkin(address, checked_out.generation, pooled);
        let _ = services.links.send(checkin).await;
    }
    Ok(answer)
}

async fn open(
    services: &services::Services,
    address: SocketAddr,
) -> Result<links::Pooled, refusal::Refusal> {
    let opened = Instant::now();
    let connection = open::open(address, &services.options.credential).await;
    let connection = connection.map_err(|_| unreachable_node())?;
    Ok(links::Pooled { connection, opened })
}

fn unreachable_node() -> refusal::Refusal {
    refusal::Refusal {
        ran: ran::Ran::No,
        ..refusal::Refusal::new(
            code::Code::TargetFailed,
            "the target's node cannot be reached",
        )
    }
}

fn silent_node() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::TargetFailed,
        "the connections to the target's node have gone silent",
    )
}
