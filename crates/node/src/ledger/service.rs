//! Stand-in for the ledger: allows every attempt its credit.

use futures::future::{self, Either};
use masticarch_kernel::{mailbox, stop};

use super::message;

/// Runs the service until asked to stop.
pub async fn run(mut mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message::Message::Begin { credit, reply, .. }), _)) => {
                let _ = reply.send(Ok(message::Allowance {
                    credit,
                    repeat: false,
                }));
            }
            Either::Right((Some(message::Message::End { .. }), _)) => {}
            _ => return,
        }
    }
}
