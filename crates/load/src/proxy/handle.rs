//! A running proxy.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::{address, kernel};

use super::{acceptor, fault, service};
use crate::error;

/// Messages that the mailbox of the service holds.
const MAILBOX_CAPACITY: usize = 1024;

/// Handle of a proxy that runs on the current runtime.
pub struct Handle {
    kernel: kernel::Kernel,
    acceptor: acceptor::Acceptor,
    service: address::Address<service::Message>,
}

impl Handle {
    /// Starts a proxy without faults on the current runtime.
    ///
    /// # Errors
    /// [`error::Error::Io`] when the address cannot be bound.
    pub fn start(listening: SocketAddr, upstream: SocketAddr) -> Result<Self, error::Error> {
        let mut kernel = kernel::Kernel::new();
        let mailbox = kernel.register::<service::Message>(service::NAME, MAILBOX_CAPACITY)?;
        let service = kernel.registry().lookup(service::NAME)?;
        let acceptor = acceptor::Acceptor::start(listening, upstream, service.clone())?;
        let state = service::Service::new(service.clone());
        kernel.start(service::NAME, |stop| state.run(mailbox, stop));
        Ok(Self {
            kernel,
            acceptor,
            service,
        })
    }

    /// Listening address, with the port that was bound.
    #[must_use]
    pub const fn listening(&self) -> SocketAddr {
        self.acceptor.listening()
    }

    /// Mailbox address of the service `proxy`, which other threads may use.
    #[must_use]
    pub fn service(&self) -> address::Address<service::Message> {
        self.service.clone()
    }

    /// Replaces the current fault, also for existing connections.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the proxy has stopped.
    pub async fn apply(&self, fault: fault::Fault) -> Result<(), error::Error> {
        let build = |reply| service::Message::Apply(fault, reply);
        Ok(self.service.ask(build).await?)
    }

    /// Applies a cut to all existing connections and returns their number.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the proxy has stopped.
    pub async fn cut(&self, cut: fault::Cut) -> Result<usize, error::Error> {
        let build = |reply| service::Message::Cut(cut, reply);
        Ok(self.service.ask(build).await?)
    }

    /// Stops the proxy, waiting for its service up to the timeout.
    pub async fn stop(self, timeout: Duration) {
        drop(self.acceptor);
        self.kernel.shutdown(timeout).await;
    }
}
