//! A connection with capnp-rpc that closes when it is given up.

use capnp_rpc::{Disconnector, rpc_twoparty_capnp};

/// The client's end of a connection. Dropping it closes the connection, so that
/// one which has gone silent is not kept until the system notices.
pub struct Link<C> {
    /// Bootstrap capability of the other side.
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
