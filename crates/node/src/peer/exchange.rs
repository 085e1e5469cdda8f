//! Client side of requests between nodes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// Longest time for a node to acknowledge what it is told of the quarantine.
const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an exchange with a node that does not answer probes goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Patience {
    /// Until a probe is not answered.
    UntilSuspect,
    /// Until the connection is known to be silent while the node answers on others.
    UntilSilent,
}

/// Runs a job at a target of another node, through that node. Dropping the future
/// closes the connection, which cancels the job there.
pub async fn run(
    services: &services::Services,
    address: SocketAddr,
    admission: &admission::Admission,
    mut job: job::Job,
) -> job::Outcome {
    headers::write_entry(&mut job.request, &job.entry);
    let limits = services.answer_limits();
    // Another attempt may follow an idempotent one at once. Any other one ends with the
    // connection only, because it may still run and be answered.
    let patience = if admission.idempotent {
        Patience::UntilSuspect
    } else {
        Patience::UntilSilent
    };
    match send(services, address, &job.request, &limits, patience).await {
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
    let limits = services.body_limits(MAX_LEDGER_ANSWER_BYTES);
    let patience = Patience::UntilSuspect;
    let answer = send(services, address, &request, &limits, patience).await;
    let answer = answer.ok()?;
    message::decode(&answer.body).ok()
}

/// Tells another node what this one knows of requests that crash targets. Returns
/// whether the other node has acknowledged it.
pub async fn quarantine(
    services: &services::Services,
    address: SocketAddr,
    batch: &message::quarantine::Batch,
) -> bool {
    let body = Bytes::from(message::encode(batch));
    let request = request::Request::new(Method::POST, Uri::from_static("/quarantine"), body);
    let limits = services.body_limits(0);
    let patience = Patience::UntilSuspect;
    let sent = send(services, address, &request, &limits, patience);
    let answer = monoio::time::timeout(QUARANTINE_TIMEOUT, sent).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status.is_success()))
}

/// Sends a request to another node on a pooled or a new connection and returns the
/// answer.
async fn send(
    services: &services::Services,
    address: SocketAddr,
    request: &request::Request,
    limits: &connection::BodyLimits,
    patience: Patience,
) -> Result<answer::Answer, refusal::Refusal> {
    let checkout = |reply| links::Message::Checkout(address, reply);
    let Ok(checked_out) = services.links.ask(checkout).await else {
        return Err(refusal::Refusal::draining());
    };
    let mut pooled = match checked_out.connection {
        Some(pooled) => pooled,
        // Boxed, because the future that opens a connection is large and rarely needed.
        None => Box::pin(open(services, address)).await?,
    };
    let exchange = pooled.connection.exchange(request, limits);
    let given_up = match patience {
        Patience::UntilSuspect => &checked_out.suspect,
        Patience::UntilSilent => &checked_out.silent,
    };
    let answer = match race::race(exchange, given_up.wait()).await {
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
