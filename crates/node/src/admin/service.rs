//! The listener for operators' tools and local targets.

use masticarch_kernel::stop;
use monoio::net::TcpListener;

use super::handler;
use crate::{listener, name, services, session};

/// Largest body of an announcement.
const MAX_BODY: usize = 4096;

/// Accepts connections until asked to stop.
pub async fn run(listener: TcpListener, services: services::Services, stop: stop::Stop) {
    let ended = stop.clone();
    listener::run(name::ADMIN, listener, stop, move |_, stream| {
        let handler = handler::Handler::new(services.clone());
        session::run(stream, handler, MAX_BODY, ended.clone())
    })
    .await;
}
