//! Calls to the control leader for one claim, retried until they are committed.

use std::time::{Duration, Instant};

use masticarch_wire::message::claim;

use crate::leader;

/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a settlement is retried. By then the control group has removed the
/// incarnation of a node that cannot reach it, and its claims are unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Claims a request; the same attempt is sent again after a failure, until the
/// deadline. `None` when it is not known whether the claim was committed.
pub async fn claim(
    leader: &mut leader::Leader,
    request: &claim::Request,
    deadline: Instant,
) -> Option<claim::Reply> {
    let deadline = monoio::time::Instant::from_std(deadline);
    let committed = monoio::time::timeout_at(deadline, retry(leader, request));
    committed.await.ok()
}

/// Settles a claim.
pub async fn settle(leader: &mut leader::Leader, request: &claim::Request) {
    let settled = monoio::time::timeout(SETTLE_TIMEOUT, retry(leader, request));
    if settled.await.is_err() {
        tracing::warn!("a claim could not be settled in time");
    }
}

async fn retry(leader: &mut leader::Leader, request: &claim::Request) -> claim::Reply {
    loop {
        match leader.ask(request, Duration::ZERO).await {
            Ok(claim::Reply::Unavailable) | Err(_) => monoio::time::sleep(RETRY_DELAY).await,
            Ok(reply) => return reply,
        }
    }
}
