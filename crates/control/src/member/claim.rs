//! Claims on non-idempotent requests: at most one attempt holds the claim on an
//! idempotency key.

use masticarch_model::{claim as model, code, command, outcome};
use masticarch_wire::message::claim;

use crate::{registry, services};

/// Commits a claim or a settlement, and replies with its result.
pub async fn answer(services: &services::Services, request: claim::Request) -> claim::Reply {
    let subject = subject(&request).clone();
    let outcome = services.commands.commit(&command(request)).await;
    match outcome {
        Ok(outcome::Outcome::Claimed) => claim::Reply::Claimed,
        Ok(outcome::Outcome::Applied) => claim::Reply::Settled,
        Ok(outcome::Outcome::Held(held)) => claim::Reply::Held(held),
        // The node detects the mismatch by the digest in the claim.
        Ok(outcome::Outcome::Refused(code::Code::IdempotencyMismatch)) => {
            conflicting_claim(services, subject).await
        }
        // A member whose storage has failed appended nothing, and another member
        // leads.
        Err(code::Code::NotLeader | code::Code::StorageFailed) => {
            claim::Reply::NotLeader(services.log.leader().await)
        }
        Ok(_) | Err(_) => {
            services.metrics.refused(code::Code::ClaimUnavailable);
            claim::Reply::Unavailable
        }
    }
}

const fn subject(request: &claim::Request) -> &model::Subject {
    match request {
        claim::Request::Claim { subject, .. } | claim::Request::Settle { subject, .. } => subject,
    }
}

fn command(request: claim::Request) -> command::Command {
    match request {
        claim::Request::Claim {
            subject,
            digest,
            attempt,
        } => command::Command::Claim(subject, digest, attempt),
        claim::Request::Settle {
            subject,
            attempt,
            settlement,
        } => command::Command::Settle(subject, attempt, settlement),
    }
}

/// Replies with the claim that conflicts with a request.
async fn conflicting_claim(services: &services::Services, subject: model::Subject) -> claim::Reply {
    let asked = services
        .registry
        .ask(|reply| registry::message::Message::Claim(subject, reply));
    match asked.await {
        Ok(Some(held)) => claim::Reply::Held(held),
        Ok(None) | Err(_) => claim::Reply::Unavailable,
    }
}
