//! The service `control`: changes the behaviour of a stand-in and reads its records
//! over HTTP.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use masticarch_kernel::{address, name};
use serde::Serialize;

use super::scheduler;
use crate::http::server;

/// Name of the service.
pub const NAME: name::Name = name::Name::new("control");
/// Maximum number of concurrent connections to the control port.
pub const MAX_CONNECTIONS: usize = 16;

/// Handler of `PUT /control` and `GET /executions`.
#[derive(Clone)]
pub struct Control {
    scheduler: address::Address<scheduler::Message>,
}

impl Control {
    /// Creates a handler that calls the scheduler.
    #[must_use]
    pub const fn new(scheduler: address::Address<scheduler::Message>) -> Self {
        Self { scheduler }
    }

    async fn answer(self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::PUT, "/control") => self.change(request.body()).await,
            (&Method::GET, "/executions") => {
                let executions = self
                    .scheduler
                    .ask(scheduler::Message::Executions)
                    .await
                    .ok()?;
                Some(json(&executions))
            }
            _ => Some(server::answer(StatusCode::NOT_FOUND, "no such resource")),
        }
    }

    async fn change(&self, body: &[u8]) -> Option<Response<Bytes>> {
        match serde_json::from_slice(body) {
            Ok(change) => {
                let change = self
                    .scheduler
                    .ask(|reply| scheduler::Message::Change(change, reply));
                Some(json(&change.await.ok()?))
            }
            Err(failure) => Some(server::answer(StatusCode::BAD_REQUEST, failure.to_string())),
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => server::answer(StatusCode::OK, body),
        Err(_) => server::answer(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}

impl server::Handler for Control {
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Bytes>>> + 'static {
        self.clone().answer(request)
    }
}
