//! The `Operator` interface: decodes calls and encodes replies.

use std::rc::Rc;

use masticarch_model::name;
use masticarch_wire::masticarch_capnp::operator;
use masticarch_wire::message as wire;

use super::call;
use crate::services;

/// Serves the calls of one operator's connection.
pub struct Server {
    services: services::Services,
    /// Name of the credential that the operator proved to hold.
    operator: name::Name,
}

impl Server {
    /// Makes the server of one connection.
    #[must_use]
    pub const fn new(services: services::Services, operator: name::Name) -> Self {
        Self { services, operator }
    }
}

impl operator::Server for Server {
    async fn call(
        self: Rc<Self>,
        params: operator::CallParams,
        mut results: operator::CallResults,
    ) -> Result<(), capnp::Error> {
        self.services.metrics.called("operator");
        let request = wire::decode(params.get()?.get_request()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let reply = call::answer(&self.services, &self.operator, request).await;
        results.get().set_reply(&wire::encode(&reply));
        Ok(())
    }
}
