//! Connections of operators' tools.

use std::rc::Rc;

use masticarch_wire::masticarch_capnp::operator;
use masticarch_wire::{handshake, rpc};

use super::server;
use crate::{listener, services};

/// Serves one connection: the handshake with an operator's credential, then
/// calls.
pub async fn serve(
    mut connection: listener::Connection,
    services: services::Services,
    credentials: Rc<[handshake::Credential]>,
) {
    let role = handshake::Role::Operator;
    let proven = handshake::accept(&mut connection.stream, role, &credentials).await;
    let name = match proven {
        Ok(name) => name,
        Err(error) => {
            services.metrics.handshake_failed("operator");
            tracing::debug!(%error, "operator connection refused");
            return;
        }
    };
    let server = server::Server::new(services, name);
    let client: operator::Client = capnp_rpc::new_client(server);
    if let Err(error) = rpc::serve(connection.stream, client.client).await {
        tracing::debug!(%error, "operator connection closed");
    }
}
