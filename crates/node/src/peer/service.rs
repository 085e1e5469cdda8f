//! The listener for other nodes.

use std::rc::Rc;

use masticarch_kernel::stop;
use masticarch_wire::handshake;
use monoio::net::{TcpListener, TcpStream};

use super::handler;
use crate::protocol::Protocol;
use crate::{listener, name, services, session};

/// Accepts connections of other nodes until asked to stop; idle ones close then.
pub async fn run<P: Protocol>(
    listener: TcpListener,
    services: Rc<services::Services>,
    stop: stop::Stop,
) {
    let context = services.session_context(&stop);
    listener::run(name::PEER, listener, stop, move |_, stream| {
        let open = services.metrics.opened("peer");
        let services = services.clone();
        let context = context.clone();
        async move {
            serve::<P>(stream, services, context).await;
            drop(open);
        }
    })
    .await;
}

/// Serves one connection once the other side has proved that it knows the fleet's
/// secret. Otherwise the connection is closed without an answer.
async fn serve<P: Protocol>(
    mut stream: TcpStream,
    services: Rc<services::Services>,
    context: session::Context,
) {
    let credentials = std::slice::from_ref(&services.options.credential);
    let accepted = handshake::accept(&mut stream, handshake::Role::Peer, credentials).await;
    if accepted.is_ok() {
        session::run(stream, handler::Handler::<P>::new(services), context).await;
    }
}
