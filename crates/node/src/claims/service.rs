//! The service that claims non-idempotent requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, reply, stop, task};
use masticarch_model::{attempt, claim, incarnation};
use masticarch_wire::message::claim as wire;

use super::{message, reservation, worker};
use crate::{contacts, leader, name, options};

/// Longest wait for settlements in progress at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// Most idle connections to the control leader that are kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// State of the service: the connections to the control leader that are idle, and the
/// number of those in use.
struct Claims {
    contacts: contacts::Contacts,
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    sequence: u64,
    own: address::Address<message::Message>,
    idle: Vec<leader::Leader>,
    busy: usize,
}

/// Runs the service until it is asked to stop and the settlements in progress are
/// committed, or the shutdown timeout is over.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    own: address::Address<message::Message>,
    contacts: contacts::Contacts,
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    stop: stop::Stop,
) {
    let mut claims = Claims {
        contacts,
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
    let _ = monoio::time::timeout(SHUTDOWN_TIMEOUT, claims.drain(&mut mailbox)).await;
}

impl Claims {
    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Claim(subject, digest, deadline, reply) => {
                self.claim(subject, digest, deadline, reply);
            }
            message::Message::Settle(subject, attempt, settlement) => {
                self.settle(wire::Request::Settle {
                    subject,
                    attempt,
                    settlement,
                });
            }
            message::Message::Idle(leader) => {
                self.busy -= 1;
                if self.idle.len() < MAX_IDLE_CONNECTIONS {
                    self.idle.push(*leader);
                }
            }
        }
    }

    /// Handles the remaining messages until no connection is busy.
    async fn drain(&mut self, mailbox: &mut mailbox::Mailbox<message::Message>) {
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
        subject: claim::Subject,
        digest: [u8; 32],
        deadline: Instant,
        reply: reply::Reply<message::Outcome>,
    ) {
        let attempt = self.attempt();
        let mut leader = self.leader();
        let own = self.own.clone();
        drop(task::spawn(name::CLAIMS, async move {
            let request = wire::Request::Claim {
                subject: subject.clone(),
                digest,
                attempt,
            };
            let committed = worker::claim(&mut leader, &request, deadline).await;
            let outcome = match committed {
                // A claim that this attempt holds itself is left to the next arm: it has
                // become unknown, but the request did not run.
                Some(wire::Reply::Held(claim)) if claim.holder != attempt => {
                    message::Outcome::Held(claim)
                }
                reply => {
                    // If the asker doesn't receive the reservation, it is dropped, which
                    // settles the claim as not run.
                    let reservation = reservation::Reservation::new(own.clone(), subject, attempt);
                    if reply == Some(wire::Reply::Claimed) {
                        message::Outcome::Claimed(reservation)
                    } else {
                        message::Outcome::Unavailable
                    }
                }
            };
            let _ = reply.send(outcome);
            let _ = own.send(message::Message::Idle(Box::new(leader))).await;
        }));
    }

    fn settle(&mut self, request: wire::Request) {
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
            leader::Leader::new(
                self.contacts.clone(),
                options.credential.clone(),
                leader::COMMIT_TIMEOUT,
            )
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
