//! Connection of an operator to one control process.

use std::net::SocketAddr;

use masticarch_wire::message::{self, operator};
use masticarch_wire::{handshake, masticarch_capnp, rpc};

use crate::error;

/// An open connection with a completed handshake.
#[derive(Clone)]
pub struct Session {
    client: masticarch_capnp::operator::Client,
}

impl Session {
    /// Connects and authenticates with the credential.
    ///
    /// # Errors
    /// [`error::Error::Wire`] when the handshake fails.
    pub async fn open(
        address: SocketAddr,
        credential: &handshake::Credential,
    ) -> Result<Self, error::Error> {
        let role = handshake::Role::Operator;
        let client = rpc::connect(address, role, credential).await?;
        Ok(Self { client })
    }

    /// Makes one call.
    ///
    /// # Errors
    /// [`error::Error::Wire`] when no answer comes; the call may have been executed
    /// nevertheless.
    pub async fn call(&self, request: &operator::Request) -> Result<operator::Reply, error::Error> {
        Ok(self.exchange(request).await?)
    }

    async fn exchange(
        &self,
        request: &operator::Request,
    ) -> Result<operator::Reply, masticarch_wire::error::Error> {
        let mut call = self.client.call_request();
        call.get().set_request(&message::encode(request));
        let response = call.send().promise.await?;
        message::decode(response.get()?.get_reply()?)
    }
}
