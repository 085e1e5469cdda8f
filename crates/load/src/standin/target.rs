//! Executes the requests to a stand-in.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use masticarch_kernel::{address, stop};
use masticarch_wire::header;

use super::{behaviour, calls, crash, record, scheduler, settings};
use crate::http::server;

/// Handler that executes each request in a slot of the stand-in.
#[derive(Clone)]
pub struct Target {
    settings: Rc<settings::Settings>,
    scheduler: address::Address<scheduler::Message>,
    crash: address::Address<crash::Message>,
    ended: stop::Stop,
}

impl Target {
    /// Creates a handler that asks the scheduler for slots. It answers nothing once the
    /// run of the stand-in has ended.
    #[must_use]
    pub fn new(
        settings: settings::Settings,
        scheduler: address::Address<scheduler::Message>,
        crash: address::Address<crash::Message>,
        ended: stop::Stop,
    ) -> Self {
        Self {
            settings: Rc::new(settings),
            scheduler,
            crash,
            ended,
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
                let succeeded = monoio::select! {
                    succeeded = self.run(&request, duration) => Some(succeeded && !fails),
                    () = self.ended.wait() => None,
                };
                self.scheduler.send(scheduler::Message::End).await.ok()?;
                let succeeded = succeeded?;
                if request.uri().path().ends_with(crash::CRASH_PATH) {
                    self.crash.send(crash::Message::Crash).await.ok()?;
                    self.ended.wait().await;
                    return None;
                }
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
