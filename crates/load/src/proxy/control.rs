//! Control port of a proxy: `PUT /fault` and `PUT /cut` with JSON bodies.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use masticarch_kernel::address;

use super::service;
use crate::http::server;

/// Maximum number of concurrent connections to the control port.
pub const MAX_CONNECTIONS: usize = 16;

/// Handler that forwards faults and cuts to the service `proxy`.
#[derive(Clone)]
pub struct Control {
    service: address::Address<service::Message>,
}

impl Control {
    /// Creates a handler that sends to the given service.
    #[must_use]
    pub const fn new(service: address::Address<service::Message>) -> Self {
        Self { service }
    }

    async fn answer(self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        let body = request.body();
        match (request.method(), request.uri().path()) {
            (&Method::PUT, "/fault") => match serde_json::from_slice(body) {
                Ok(fault) => self.apply(fault).await,
                Err(failure) => Some(bad_request(&failure)),
            },
            (&Method::PUT, "/cut") => match serde_json::from_slice(body) {
                Ok(cut) => self.cut(cut).await,
                Err(failure) => Some(bad_request(&failure)),
            },
            _ => Some(server::answer(StatusCode::NOT_FOUND, "no such resource")),
        }
    }

    async fn apply(&self, fault: super::Fault) -> Option<Response<Bytes>> {
        let build = |reply| service::Message::Apply(fault, reply);
        self.service.ask(build).await.ok()?;
        Some(server::answer(StatusCode::NO_CONTENT, ""))
    }

    async fn cut(&self, cut: super::fault::Cut) -> Option<Response<Bytes>> {
        let build = |reply| service::Message::Cut(cut, reply);
        let count = self.service.ask(build).await.ok()?;
        Some(server::answer(StatusCode::OK, count.to_string()))
    }
}

fn bad_request(failure: &serde_json::Error) -> Response<Bytes> {
    server::answer(StatusCode::BAD_REQUEST, failure.to_string())
}

impl server::Handler for Control {
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Bytes>>> + 'static {
        self.clone().answer(request)
    }
}
