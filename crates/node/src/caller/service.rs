//! The listener for callers.

use masticarch_kernel::stop;
use monoio::net::TcpListener;

use super::handler;
use crate::{listener, name, services, session};

/// Accepts callers until asked to stop; idle connections close then.
pub async fn run(listener: TcpListener, services: services::Services, stop: stop::Stop) {
    let ended = stop.clone();
    listener::run(name::CALLER, listener, stop, move |number, stream| {
        let open = services.metrics.opened("caller");
        let max_body = services.options.max_request_bytes;
        let handler = handler::Handler::new(services.clone(), number);
        let ended = ended.clone();
        async move {
            session::run(stream, handler, max_body, ended).await;
            drop(open);
        }
    })
    .await;
}
