//! Enters attempts in the ledger of the home node of their request id, which may be
//! this node or another one.

use std::time::{Duration, Instant};

use masticarch_kernel::reply;
use masticarch_model::{attempt, code};
use masticarch_wire::message::ledger as wire;

use crate::ledger::message;
use crate::peer::exchange;
use crate::sync::{home, message as sync};
use crate::{refusal, services};

/// Longest wait for a reply of the home node.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Entry of an attempt in the ledger of the home node of its request id.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Team and request id.
    pub id: Box<str>,
    /// The attempt of this node.
    pub attempt: attempt::Attempt,
    home: home::Home,
}

impl Entry {
    /// Finds the home node of an id.
    ///
    /// # Errors
    /// A refusal when no home node is known.
    pub async fn find(
        services: &services::Services,
        id: Box<str>,
        attempt: attempt::Attempt,
    ) -> Result<Self, refusal::Refusal> {
        let ask = |reply| sync::Message::Home(id.clone(), reply);
        let home = services.sync.ask(ask).await.ok().flatten();
        let home = home.ok_or_else(unavailable)?;
        Ok(Self { id, attempt, home })
    }

    /// Enters the attempt, with the retry credit of its route, and returns what it may
    /// spend.
    ///
    /// # Errors
    /// The ledger's refusal, or one when it does not answer in time.
    pub async fn begin(
        &self,
        services: &services::Services,
        credit: u8,
        deadline: Instant,
    ) -> Result<message::Allowance, refusal::Refusal> {
        let begin = async {
            match self.home {
                home::Home::Local => self.begin_local(services, credit, deadline).await,
                home::Home::Remote(address) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    let request = wire::Request::Begin {
                        id: self.id.clone(),
                        attempt: self.attempt,
                        credit,
                        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
                    };
                    allowance(exchange::ledger(services, address, &request).await)
                }
            }
        };
        monoio::time::timeout(REPLY_TIMEOUT, begin)
            .await
            .unwrap_or_else(|_| Err(unavailable()))
    }

    /// Ends the attempt. When the message is lost, only the credit of the id is lost.
    pub async fn end(&self, services: &services::Services, credit: u8, executions: Option<u32>) {
        match self.home {
            home::Home::Local => {
                let end = message::Message::End {
                    id: self.id.clone(),
                    attempt: self.attempt,
                    credit,
                    executions,
                };
                let _ = services.ledger.send(end).await;
            }
            home::Home::Remote(address) => {
                let request = wire::Request::End {
                    id: self.id.clone(),
                    attempt: self.attempt,
                    credit,
                    executions,
                };
                let told = exchange::ledger(services, address, &request);
                let _ = monoio::time::timeout(REPLY_TIMEOUT, told).await;
            }
        }
    }

    async fn begin_local(
        &self,
        services: &services::Services,
        credit: u8,
        deadline: Instant,
    ) -> Result<message::Allowance, refusal::Refusal> {
        let begin = |reply: reply::Reply<_>| message::Message::Begin {
            id: self.id.clone(),
            attempt: self.attempt,
            credit,
            deadline,
            reply,
        };
        let answer = services.ledger.ask(begin).await;
        answer.unwrap_or_else(|_| Err(unavailable()))
    }
}

fn allowance(reply: Option<wire::Reply>) -> Result<message::Allowance, refusal::Refusal> {
    match reply {
        Some(wire::Reply::Allowed(credit, repeat)) => Ok(message::Allowance { credit, repeat }),
        Some(wire::Reply::Refused(code, detail)) => Err(refusal::Refusal::new(code, detail)),
        Some(wire::Reply::Noted) | None => Err(unavailable()),
    }
}

fn unavailable() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::LedgerUnavailable,
        "the home node of the request id does not answer",
    )
}
