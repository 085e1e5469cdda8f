//! Answers requests on the admin port.

use std::rc::Rc;
use std::time::SystemTime;

use http::{HeaderValue, Method, StatusCode, header};
use masticarch_model::{code, name};
use masticarch_policy::freshness;
use masticarch_wire::http::{answer, fault, request};
use serde::Serialize;

use super::status;
use crate::caller::encode;
use crate::quarantine::message as quarantine;
use crate::sync::message as sync;
use crate::target::{announcement, change, message as target, withdrawal};
use crate::{refusal, services, session};

/// Answers the requests on one connection to the admin port.
pub struct Handler {
    services: Rc<services::Services>,
}

impl Handler {
    /// A handler for one connection.
    #[must_use]
    pub const fn new(services: Rc<services::Services>) -> Self {
        Self { services }
    }

    async fn route(&self, request: &request::Request) -> answer::Answer {
        let path = request.uri.path();
        if let Some(service) = path.strip_prefix("/targets/") {
            return self.change_target(service, request).await;
        }
        if request.method != Method::GET {
            return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed here");
        }
        match path {
            "/metrics" => self.metrics().await,
            "/health" => text(StatusCode::OK, "ok"),
            "/ready" => self.ready().await,
            "/status" => self.status().await,
            "/quarantine" => self.quarantine().await,
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn metrics(&self) -> answer::Answer {
        let copy = self.services.sync.ask(sync::Message::Status).await.ok();
        let metrics = &self.services.metrics;
        metrics.set_currency(copy.and_then(|copy| copy.age));
        metrics.set_in_flight(self.services.in_flight.count());
        let mut answer = answer::Answer::new(StatusCode::OK, metrics.expose());
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        answer.headers.insert(header::CONTENT_TYPE, kind);
        answer
    }

    async fn ready(&self) -> answer::Answer {
        if is_ready(&self.services).await {
            text(StatusCode::OK, "ready")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    async fn status(&self) -> answer::Answer {
        let status = status::Status::read(&self.services).await;
        json(status.as_ref())
    }

    async fn quarantine(&self) -> answer::Answer {
        let ask = quarantine::Message::Status;
        let records = self.services.quarantine.ask(ask).await.ok();
        json(records.as_ref())
    }

    async fn change_target(&self, service: &str, request: &request::Request) -> answer::Answer {
        let service = name::Name::new(service);
        if !service.is_valid() {
            return refused(code::Code::BadName, "the service has a bad name");
        }
        let message = match request.method {
            Method::DELETE => match read_withdrawal(&request.body) {
                Ok(withdrawal) => target::Message::Withdraw(service, withdrawal),
                Err(error) => return refused(code::Code::BadRequest, &error.to_string()),
            },
            Method::PUT => match serde_json::from_slice(&request.body) {
                Ok(body) if announcement::Announcement::is_valid(&body, SystemTime::now()) => {
                    target::Message::Announce(service, body)
                }
                Ok(_) => {
                    return refused(
                        code::Code::OutOfRange,
                        "slots and connections start at 1, and no instance starts in the future",
                    );
                }
                Err(error) => return refused(code::Code::BadRequest, &error.to_string()),
            },
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, "PUT or DELETE"),
        };
        match change::apply(&self.services, message).await {
            Ok(()) => answer::Answer::new(StatusCode::NO_CONTENT, ""),
            Err(code::Code::NoQuorum) => refused(
                code::Code::NoQuorum,
                "the control leader has not recorded that the target leaves",
            ),
            Err(code) => refused(code, "the node is stopping"),
        }
    }
}

impl session::Handler for Handler {
    async fn answer(&mut self, request: request::Request) -> answer::Answer {
        self.route(&request).await
    }

    fn refuse(&mut self, fault: &fault::Fault) -> answer::Answer {
        refused(fault.request_code(), &fault.to_string())
    }
}

/// Whether the node takes requests: its copy of the published state is current, and it
/// is not draining.
pub async fn is_ready(services: &services::Services) -> bool {
    let copy = services.sync.ask(sync::Message::Status).await.ok();
    copy.is_some_and(|copy| !copy.draining && copy.age.is_some_and(|age| age < freshness::MAX_AGE))
}

/// Reads the body of a withdrawal, which may be empty.
fn read_withdrawal(body: &[u8]) -> serde_json::Result<withdrawal::Withdrawal> {
    if body.is_empty() {
        return Ok(withdrawal::Withdrawal::default());
    }
    serde_json::from_slice(body)
}

/// A state as JSON; `None` while the node stops.
fn json<T: Serialize>(state: Option<&T>) -> answer::Answer {
    let Some(json) = state.and_then(|state| serde_json::to_vec(state).ok()) else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping");
    };
    let mut answer = answer::Answer::new(StatusCode::OK, json);
    let kind = HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, kind);
    answer
}

fn text(status: StatusCode, text: &'static str) -> answer::Answer {
    answer::Answer::new(status, text)
}

/// Encodes a refusal. The codes for faults in operators' objects have no HTTP status of
/// their own, so those used here get 400.
fn refused(code: code::Code, detail: &str) -> answer::Answer {
    let mut answer = encode::refusal(&refusal::Refusal::new(code, detail), "");
    if matches!(code, code::Code::BadName | code::Code::OutOfRange) {
        answer.status = StatusCode::BAD_REQUEST;
    }
    answer
}
