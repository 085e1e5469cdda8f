//! A capnp-rpc connection that closes when it is dropped.

use capnp_rpc::{Disconnector, rpc_twoparty_capnp};

/// The client side of a capnp-rpc connection. Dropping it closes the connection, so
/// that a connection whose server has stopped responding does not stay open until
/// the operating system detects the failure.
pub struct Link<C> {
    /// Bootstrap capability of the server.
    pub client: C,
    disconnector: Option<Disconnector<rpc_twoparty_capnp::Side>>,
}

impl<C> Link<C> {
    pub(crate) const fn new(
        client: C,
        disconnector: Disconnector<rpc_twoparty_capnp::Side>,
    ) -> Self {
        Self {
            client,
            disconnector: Some(disconnector),
        }
    }
}

impl<C> Drop for Link<C> {
    fn drop(&mut self) {
        if let Some(disconnector) = self.disconnector.take() {
            monoio::spawn(async move {
                let _ = disconnector.await;
            });
        }
    }
}
