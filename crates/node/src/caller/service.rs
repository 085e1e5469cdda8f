//! Service that accepts callers.

use std::rc::Rc;

use masticarch_kernel::stop;
use monoio::net::TcpListener;

use super::handler;
use crate::protocol::Protocol;
use crate::{listener, name, services, session};

/// Accepts callers until asked to stop; idle connections close then.
pub async fn run<P: Protocol>(
    listener: TcpListener,
    services: Rc<services::Services>,
    stop: stop::Stop,
) {
    let context = services.session_context(&stop);
    listener::run(name::CALLER, listener, stop, move |number, stream| {
        let open = services.metrics.opened("caller");
        let handler = handler::Handler::<P>::new(services.clone(), number);
        let context = context.clone();
        async move {
            session::run(stream, handler, context).await;
            drop(open);
        }
    })
    .await;
}
