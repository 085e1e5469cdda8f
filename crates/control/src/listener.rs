//! The accept loop of a port.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use masticarch_kernel::{name, stop, task};
use monoio::net::{TcpListener, TcpStream};

use crate::error;

/// Delay after a failed accept. Without it, the loop would spin while no file
/// descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection.
#[derive(Debug)]
pub struct Connection {
    /// Number of the connection on its port, in the order of acceptance.
    pub number: u64,
    /// The accepted TCP stream.
    pub stream: TcpStream,
}

/// A listening socket and the name of the service that accepts on it.
pub struct Listener {
    name: name::Name,
    socket: TcpListener,
}

impl Listener {
    /// Binds and listens on the address.
    ///
    /// # Errors
    /// [`error::Error::Listen`] when the address cannot be bound.
    pub fn bind(name: name::Name, address: SocketAddr) -> Result<Self, error::Error> {
        let socket =
            TcpListener::bind(address).map_err(|source| error::Error::Listen(address, source))?;
        Ok(Self { name, socket })
    }

    /// Serves each connection in a task of its own until the service is asked
    /// to stop, which closes the open connections as well.
    pub async fn run<F>(self, stop: stop::Stop, serve: impl Fn(Connection) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let mut number = 0;
        loop {
            let accepted = futures::select_biased! {
                accepted = self.socket.accept().fuse() => accepted,
                () = stop.wait().fuse() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    let served = serve(Connection { number, stream });
                    task::spawn(self.name, serve_until_stop(served, stop.clone()));
                }
                Err(error) => {
                    tracing::warn!(service = %self.name, %error, "accept failed");
                    monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve_until_stop(served: impl Future<Output = ()>, stop: stop::Stop) {
    futures::select_biased! {
        () = served.fuse() => {}
        () = stop.wait().fuse() => {}
    }
}
