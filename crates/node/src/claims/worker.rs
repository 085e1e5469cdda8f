//! A connection to the control leader that carries one claim at a time.

use std::time::{Duration, Instant};

use masticarch_wire::message::claim;

use crate::leader;

/// Pause before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A settlement is repeated this long; by then the incarnation of a node that
/// cannot reach control has been removed and its claims are unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Claims until the deadline; the same attempt is sent again after a failure.
/// `None` when it is not known whether the claim was committed.
pub async fn claim(
    leader: &mut leader::Leader,
    request: &claim::Request,
    deadline: Instant,
) -> Option<claim::Reply> {
    let deadline = monoio::time::Instant::from_std(deadline);
    let committed = monoio::time::timeout_at(deadline, retry(leader, request));
    committed.await.ok()
}

/// Settles until committed.
pub async fn settle(leader: &mut leader::Leader, request: &claim::Request) {
    let settled = monoio::time::timeout(SETTLE_TIMEOUT, retry(leader, request));
    if settled.await.is_err() {
        tracing::warn!("a claim could not be settled");
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
