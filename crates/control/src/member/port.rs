//! Connections of other control processes and of nodes.

use masticarch_wire::masticarch_capnp::member;
use masticarch_wire::{handshake, rpc};

use super::server;
use crate::{listener, services};

/// Serves one connection: the handshake with the fleet's credential, then calls.
pub async fn serve(
    mut connection: listener::Connection,
    services: services::Services,
    credential: handshake::Credential,
) {
    let role = handshake::Role::Member;
    let credentials = std::slice::from_ref(&credential);
    let proven = handshake::accept(&mut connection.stream, role, credentials).await;
    if let Err(error) = proven {
        services.metrics.handshake_failed("member");
        tracing::debug!(%error, "member connection refused");
        return;
    }
    let server = server::Server::new(services, connection.number);
    let client: member::Client = capnp_rpc::new_client(server);
    if let Err(error) = rpc::serve(connection.stream, client.client).await {
        tracing::debug!(%error, "member connection closed");
    }
}
