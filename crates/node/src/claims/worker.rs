//! A connection to the control leader that carries one claim at a time.

use std::time::{Duration, Instant};

use masticarch_model::{attempt, settlement};
use masticarch_wire::message::claim;

use super::message;
use crate::leader;

/// Pause before a call is repeated.
const PAUSE: Duration = Duration::from_millis(50);
/// A settlement is repeated this long; by then the incarnation of a node that
/// cannot reach control has been removed and its claims are unknown.
const SETTLE_LIMIT: Duration = Duration::from_mins(2);

/// Claims until the deadline; the same attempt is sent again after a failure.
pub async fn claim(
    leader: &mut leader::Leader,
    request: &claim::Request,
    attempt: attempt::Attempt,
    deadline: Instant,
) -> message::Verdict {
    let deadline = monoio::time::Instant::from_std(deadline);
    let committed = monoio::time::timeout_at(deadline, repeat(leader, request));
    match committed.await {
        Ok(claim::Reply::Claimed) => message::Verdict::Claimed(attempt),
        Ok(claim::Reply::Held(held)) => message::Verdict::Held(held),
        _ => message::Verdict::Unavailable,
    }
}

/// Settles until committed.
pub async fn settle(leader: &mut leader::Leader, request: &claim::Request) {
    let settled = monoio::time::timeout(SETTLE_LIMIT, repeat(leader, request));
    if settled.await.is_err() {
        tracing::warn!("a claim could not be settled");
    }
}

/// The request that takes back a claim whose fate is not known.
#[must_use]
pub fn withdrawal(request: &claim::Request) -> Option<claim::Request> {
    match request {
        claim::Request::Claim {
            subject, attempt, ..
        } => Some(claim::Request::Settle {
            subject: subject.clone(),
            attempt: *attempt,
            settlement: settlement::Settlement::NotRun,
        }),
        claim::Request::Settle { .. } => None,
    }
}

async fn repeat(leader: &mut leader::Leader, request: &claim::Request) -> claim::Reply {
    loop {
        match leader.ask(request, Duration::ZERO).await {
            Ok(claim::Reply::Unavailable) | Err(_) => monoio::time::sleep(PAUSE).await,
            Ok(reply) => return reply,
        }
    }
}
