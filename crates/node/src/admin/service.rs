//! The listener for operators' tools and local targets.

use std::rc::Rc;

use masticarch_kernel::stop;
use monoio::net::TcpListener;

use super::handler;
use crate::{in_flight, listener, name, services, session};

/// Largest body of a request, which is an announcement.
const MAX_BODY_BYTES: usize = 4096;

/// Accepts connections until asked to stop.
pub async fn run(listener: TcpListener, services: Rc<services::Services>, stop: stop::Stop) {
    // A counter of its own: a shutdown does not wait for requests on this port.
    let context = session::Context {
        in_flight: in_flight::Counter::default(),
        ..services.side_context(MAX_BODY_BYTES, &stop)
    };
    listener::run(name::ADMIN, listener, stop, move |_, stream| {
        let handler = handler::Handler::new(services.clone());
        session::run(stream, handler, context.clone())
    })
    .await;
}
