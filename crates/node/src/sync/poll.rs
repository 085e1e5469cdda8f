//! Long polling of the control leader.

use std::time::{Duration, Instant};

use masticarch_kernel::address;
use masticarch_wire::message::sync;

use super::message;
use crate::leader;

/// Delay after a failed call, so that an unreachable control group is not called in a
/// tight loop.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for a report. A target waits for it, and gives up after a second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(850);

/// Asks the leader for changes, one request at a time, until dropped.
pub async fn run(mut leader: leader::Leader, sync: address::Address<message::Message>) {
    let mut lost_since: Option<Instant> = None;
    while let Ok(request) = sync.ask(message::Message::NextRequest).await {
        let hold = Duration::from_millis(request.hold_ms.into());
        let sent = Instant::now();
        match leader.ask(&request, hold).await {
            Ok(reply) => {
                if let Some(since) = lost_since.take() {
                    let missed_ms = since.elapsed().as_millis();
                    tracing::info!(missed_ms, "control leader answers again");
                }
                let received = message::Message::Received(reply, sent);
                if sync.send(received).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if lost_since.is_none() {
                    lost_since = Some(sent);
                    tracing::warn!(%error, held = request.held.0, "control leader lost");
                }
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reports the state of the node to the leader beside the long poll. Returns whether the
/// leader has answered in time; what it answers is left to the long poll.
pub async fn report(mut leader: leader::Leader, request: sync::Request) -> bool {
    let request = sync::Request {
        hold_ms: 0,
        ..request
    };
    let answered = async {
        while leader.ask(&request, Duration::ZERO).await.is_err() {
            monoio::time::sleep(RETRY_DELAY).await;
        }
    };
    monoio::time::timeout(REPORT_TIMEOUT, answered)
        .await
        .is_ok()
}

/// Tells the leader that the node leaves. One attempt is enough, because the leader
/// removes a node that it no longer hears from in any case.
pub async fn leave(mut leader: leader::Leader, request: sync::Request) {
    let request = sync::Request {
        leaving: true,
        hold_ms: 0,
        ..request
    };
    let _ = leader.ask(&request, Duration::ZERO).await;
}
