//! Server side of requests between nodes.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use masticarch_kernel::reply;
use masticarch_model::code;
use masticarch_wire::http::{answer, fault, request};
use masticarch_wire::message;
use masticarch_wire::message::ledger as wire;

use super::headers;
use crate::caller::encode;
use crate::ledger::message as ledger;
use crate::protocol::Protocol;
use crate::quarantine::message as quarantine;
use crate::target::{job, run};
use crate::{refusal, services, session};

/// Answers the requests on one connection of another node.
pub struct Handler<P> {
    services: Rc<services::Services>,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Handler<P> {
    /// A handler for one connection.
    #[must_use]
    pub const fn new(services: Rc<services::Services>) -> Self {
        Self {
            services,
            protocol: PhantomData,
        }
    }

    async fn run(&self, job: job::Job) -> answer::Answer {
        let outcome = run::run::<P>(&self.services, job).await;
        let mut answer = outcome.result.unwrap_or_else(|refusal| refused(&refusal));
        if let Some(summary) = &outcome.summary {
            headers::write_summary(&mut answer, summary);
        }
        headers::write_leaving(&mut answer.headers, outcome.leaving.as_deref());
        answer.keep_alive = true;
        answer
    }

    async fn ledger(&self, body: &[u8]) -> answer::Answer {
        let Ok(operation) = message::decode(body) else {
            return answer::Answer::new(StatusCode::BAD_REQUEST, "");
        };
        match self.apply(operation).await {
            Some(reply) => answer::Answer::new(StatusCode::OK, message::encode(&reply)),
            None => answer::Answer::new(StatusCode::SERVICE_UNAVAILABLE, ""),
        }
    }

    async fn quarantine(&self, body: &[u8]) -> answer::Answer {
        let Ok(batch) = message::decode(body) else {
            return answer::Answer::new(StatusCode::BAD_REQUEST, "");
        };
        let merge = quarantine::Message::Merge(batch);
        match self.services.quarantine.send(merge).await {
            Ok(()) => answer::Answer::new(StatusCode::NO_CONTENT, ""),
            Err(_) => answer::Answer::new(StatusCode::SERVICE_UNAVAILABLE, ""),
        }
    }

    async fn apply(&self, operation: wire::Request) -> Option<wire::Reply> {
        match operation {
            wire::Request::Begin {
                id,
                attempt,
                credit,
                remaining_ms,
            } => {
                let remaining = Duration::from_millis(remaining_ms);
                let deadline = Instant::now().checked_add(remaining)?;
                let begin = |reply: reply::Reply<_>| ledger::Message::Begin {
                    id,
                    attempt,
                    credit,
                    deadline,
                    reply,
                };
                Some(ledger_reply(self.services.ledger.ask(begin).await.ok()?))
            }
            wire::Request::End {
                id,
                attempt,
                credit,
                executions,
            } => {
                let end = ledger::Message::End {
                    id,
                    attempt,
                    credit,
                    executions,
                };
                self.services.ledger.send(end).await.ok()?;
                Some(wire::Reply::Noted)
            }
        }
    }
}

impl<P: Protocol> session::Handler for Handler<P> {
    async fn answer(&mut self, request: request::Request) -> answer::Answer {
        // Forwarded requests of callers carry the headers of an admission entry; the
        // others are probes and operations of the ledger.
        if let Some(entry) = headers::read_entry(&request.headers) {
            return self.run(job::Job { entry, request }).await;
        }
        match request.uri.path() {
            "/ping" => answer::Answer::new(StatusCode::NO_CONTENT, ""),
            "/quarantine" => self.quarantine(&request.body).await,
            "/ledger" => self.ledger(&request.body).await,
            _ => refused(&refusal::Refusal::new(
                code::Code::BadRequest,
                "headers between nodes are missing",
            )),
        }
    }

    fn refuse(&mut self, fault: &fault::Fault) -> answer::Answer {
        refused(&refusal::Refusal::new(
            fault.request_code(),
            fault.to_string(),
        ))
    }
}

fn ledger_reply(answer: Result<ledger::Allowance, refusal::Refusal>) -> wire::Reply {
    match answer {
        Ok(allowance) => wire::Reply::Allowed(allowance.credit, allowance.repeat),
        Err(refusal) => wire::Reply::Refused(refusal.code, refusal.detail),
    }
}

/// Encodes a refusal for another node, which encodes it again for its caller.
fn refused(refusal: &refusal::Refusal) -> answer::Answer {
    let status = StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = answer::Answer::new(status, refusal.detail.to_string());
    encode::describe(refusal, &mut answer);
    answer
}
