//! The service that claims non-idempotent requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, reply, stop, task};
use masticarch_model::{attempt, incarnation};
use masticarch_wire::message::claim;

use super::{message, worker};
use crate::{leader, name, options};

/// Longest wait for unfinished settlements at a shutdown.
const FINISH_LIMIT: Duration = Duration::from_secs(3);
/// Most idle connections to control that are kept.
const MAX_IDLE: usize = 8;

struct Claims {
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    sequence: u64,
    own: address::Address<message::Message>,
    idle: Vec<leader::Leader>,
    busy: usize,
}

/// Runs the service until asked to stop and the settlements under way are
/// committed.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    own: address::Address<message::Message>,
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    stop: stop::Stop,
) {
    let mut claims = Claims {
        options,
        incarnation,
        sequence: 0,
        own,
        idle: Vec::new(),
        busy: 0,
    };
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message), _)) => claims.handle(message),
            _ => break,
        }
    }
    let _ = monoio::time::timeout(FINISH_LIMIT, claims.finish(&mut mailbox)).await;
}

impl Claims {
    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Claim(subject, digest, deadline, reply) => {
                let attempt = self.attempt();
                let request = claim::Request::Claim {
                    subject,
                    digest,
                    attempt,
                };
                self.claim(request, attempt, deadline, reply);
            }
            message::Message::Settle(subject, attempt, settlement) => {
                self.settle(claim::Request::Settle {
                    subject,
                    attempt,
                    settlement,
                });
            }
            message::Message::Idle(leader) => {
                self.busy -= 1;
                if self.idle.len() < MAX_IDLE {
                    self.idle.push(*leader);
                }
            }
        }
    }

    /// Handles what is left until no worker is busy.
    async fn finish(&mut self, mailbox: &mut mailbox::Mailbox<message::Message>) {
        while let Some(message) = mailbox.try_receive() {
            self.handle(message);
        }
        while self.busy > 0 {
            let Some(message) = mailbox.receive().await else {
                return;
            };
            self.handle(message);
        }
    }

    fn claim(
        &mut self,
        request: claim::Request,
        attempt: attempt::Attempt,
        deadline: Instant,
        reply: reply::Reply<message::Verdict>,
    ) {
        let mut leader = self.leader();
        let own = self.own.clone();
        drop(task::spawn(name::CLAIMS, async move {
            let verdict = worker::claim(&mut leader, &request, attempt, deadline).await;
            let in_doubt = verdict == message::Verdict::Unavailable;
            let claimed = matches!(verdict, message::Verdict::Claimed(_));
            // The asker of a verdict that nobody receives has not run anything.
            let unheard = reply.send(verdict).is_err() && claimed;
            if let Some(withdrawal) = worker::withdrawal(&request).filter(|_| in_doubt || unheard) {
                worker::settle(&mut leader, &withdrawal).await;
            }
            let _ = own.send(message::Message::Idle(Box::new(leader))).await;
        }));
    }

    fn settle(&mut self, request: claim::Request) {
        let mut leader = self.leader();
        let own = self.own.clone();
        drop(task::spawn(name::CLAIMS, async move {
            worker::settle(&mut leader, &request).await;
            let _ = own.send(message::Message::Idle(Box::new(leader))).await;
        }));
    }

    fn leader(&mut self) -> leader::Leader {
        self.busy += 1;
        self.idle.pop().unwrap_or_else(|| {
            let options = &self.options;
            leader::Leader::new(options.control.clone(), options.credential.clone())
        })
    }

    fn attempt(&mut self) -> attempt::Attempt {
        self.sequence += 1;
        attempt::Attempt {
            node: self.incarnation,
            sequence: self.sequence,
        }
    }
}
