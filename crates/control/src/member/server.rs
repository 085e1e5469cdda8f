//! The `Member` interface: decodes calls and encodes replies.

use std::rc::Rc;

use masticarch_model::code;
use masticarch_wire::masticarch_capnp::member;
use masticarch_wire::message as wire;

use super::{claim, lease, sync};
use crate::services;

/// Serves the calls of one connection.
pub struct Server {
    services: services::Services,
    /// Number of the connection on the port, which tells a node's connections apart.
    connection: u64,
}

impl Server {
    /// Makes the server of one connection.
    #[must_use]
    pub const fn new(services: services::Services, connection: u64) -> Self {
        Self {
            services,
            connection,
        }
    }
}

impl member::Server for Server {
    async fn agree(
        self: Rc<Self>,
        params: member::AgreeParams,
        _: member::AgreeResults,
    ) -> Result<(), capnp::Error> {
        let bytes = params.get()?.get_message()?.to_vec();
        self.services
            .log
            .deliver(bytes)
            .await
            .map_err(|error| stopped(&error))
    }

    async fn sync(
        self: Rc<Self>,
        params: member::SyncParams,
        mut results: member::SyncResults,
    ) -> Result<(), capnp::Error> {
        self.services.metrics.called("sync");
        let request =
            wire::decode(params.get()?.get_request()?).map_err(|error| undecodable(&error))?;
        let reply = sync::answer(&self.services, request)
            .await
            .map_err(refused)?;
        results.get().set_reply(&wire::encode(&reply));
        Ok(())
    }

    async fn lease(
        self: Rc<Self>,
        params: member::LeaseParams,
        mut results: member::LeaseResults,
    ) -> Result<(), capnp::Error> {
        self.services.metrics.called("lease");
        let request =
            wire::decode(params.get()?.get_request()?).map_err(|error| undecodable(&error))?;
        let reply = lease::answer(&self.services, self.connection, request)
            .await
            .map_err(|error| stopped(&error))?;
        results.get().set_reply(&wire::encode(&reply));
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: member::ClaimParams,
        mut results: member::ClaimResults,
    ) -> Result<(), capnp::Error> {
        self.services.metrics.called("claim");
        let request =
            wire::decode(params.get()?.get_request()?).map_err(|error| undecodable(&error))?;
        let reply = claim::answer(&self.services, request).await;
        results.get().set_reply(&wire::encode(&reply));
        Ok(())
    }
}

fn undecodable(error: &masticarch_wire::error::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn stopped(error: &masticarch_kernel::error::Error) -> capnp::Error {
    capnp::Error::disconnected(error.to_string())
}

fn refused(code: code::Code) -> capnp::Error {
    capnp::Error::failed(format!("refused: {code}"))
}
