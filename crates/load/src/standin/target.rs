//! The service `target`: executes the requests to a stand-in.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use masticarch_kernel::{address, name};
use masticarch_wire::header;

use super::{behaviour, calls, record, scheduler, settings};
use crate::http::server;

/// Name of the service.
pub const NAME: name::Name = name::Name::new("target");

/// Handler that executes each request in a slot of the stand-in.
#[derive(Clone)]
pub struct Target {
    settings: Rc<settings::Settings>,
    scheduler: address::Address<scheduler::Message>,
}

impl Target {
    /// Creates a handler that asks the scheduler for slots.
    #[must_use]
    pub fn new(
        settings: settings::Settings,
        scheduler: address::Address<scheduler::Message>,
    ) -> Self {
        Self {
            settings: Rc::new(settings),
            scheduler,
        }
    }

    async fn answer(self, request: Request<Bytes>) -> Option<Response<Bytes>> {
        match request.uri().path() {
            "/health" => return self.health().await,
            "/load" => return self.load().await,
            _ => {}
        }
        let metadata = record::Metadata::of(request.headers());
        let admission = self
            .scheduler
            .ask(|reply| scheduler::Message::Begin(metadata, reply));
        match admission.await.ok()? {
            scheduler::Admission::Refused => Some(server::answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "queue is full",
            )),
            scheduler::Admission::Run {
                duration,
                fails,
                behaviour,
            } => {
                let succeeded = self.run(&request, duration).await && !fails;
                self.scheduler.send(scheduler::Message::End).await.ok()?;
                let context = request.headers().get(header::CONTEXT).cloned();
                let mut answer = answer(succeeded, request.into_body());
                state(behaviour, answer.headers_mut());
                if let Some(context) = context {
                    answer.headers_mut().insert(header::CONTEXT, context);
                }
                Some(answer)
            }
        }
    }

    async fn run(&self, request: &Request<Bytes>, duration: std::time::Duration) -> bool {
        let plan = &self.settings.calls;
        if plan.order == calls::Order::Before && !self.call(request).await {
            return false;
        }
        monoio::time::sleep(duration).await;
        plan.order == calls::Order::Before || self.call(request).await
    }

    async fn call(&self, request: &Request<Bytes>) -> bool {
        let plan = &self.settings.calls;
        match self.settings.node_caller {
            Some(node) => calls::make(plan, node, request.headers()).await,
            None => plan.paths.is_empty(),
        }
    }

    async fn health(&self) -> Option<Response<Bytes>> {
        let state = self
            .scheduler
            .ask(scheduler::Message::Describe)
            .await
            .ok()?;
        let status = if state.behaviour.healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Some(server::answer(status, ""))
    }

    async fn load(&self) -> Option<Response<Bytes>> {
        let state = self
            .scheduler
            .ask(scheduler::Message::Describe)
            .await
            .ok()?;
        let load = state.running + state.queued;
        let claimed = state.behaviour.claimed_load.unwrap_or(load);
        Some(server::answer(StatusCode::OK, claimed.to_string()))
    }
}

/// Adds what the stand-in states about itself to an answer.
fn state(behaviour: behaviour::Behaviour, headers: &mut HeaderMap) {
    if let Some(rate) = behaviour.rate_limit
        && let Ok(value) = HeaderValue::from_str(&rate.to_string())
    {
        headers.insert(HeaderName::from_static(header::RATE_LIMIT), value);
    }
    if behaviour.leaving {
        headers.insert(header::LEAVING, HeaderValue::from_static("1"));
    }
}

/// Builds an answer. On success it repeats the body of the request, so that callers
/// can check that it belongs to their own request.
fn answer(succeeded: bool, body: Bytes) -> Response<Bytes> {
    if succeeded {
        server::answer(StatusCode::OK, body)
    } else {
        server::answer(StatusCode::INTERNAL_SERVER_ERROR, "failed")
    }
}

impl server::Handler for Target {
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Bytes>>> + 'static {
        self.clone().answer(request)
    }
}
