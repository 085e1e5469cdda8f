//! A running proxy.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::{address, kernel};

use super::{acceptor, fault, service};
use crate::error;

const MAILBOX_CAPACITY: usize = 1024;

/// A proxy that runs on the current runtime.
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

    /// The listening address.
    #[must_use]
    pub const fn listening(&self) -> SocketAddr {
        self.acceptor.listening()
    }

    /// The address of the service `proxy`, usable from other threads.
    #[must_use]
    pub fn service(&self) -> address::Address<service::Message> {
        self.service.clone()
    }

    /// Puts a fault in force, also on existing connections.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the proxy has stopped.
    pub async fn apply(&self, fault: fault::Fault) -> Result<(), error::Error> {
        let build = |reply| service::Message::Apply(fault, reply);
        Ok(self.service.ask(build).await?)
    }

    /// Cuts all existing connections and returns their number.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the proxy has stopped.
    pub async fn cut(&self, cut: fault::Cut) -> Result<usize, error::Error> {
        let build = |reply| service::Message::Cut(cut, reply);
        Ok(self.service.ask(build).await?)
    }

    /// Stops the proxy.
    pub async fn stop(self, limit: Duration) {
        drop(self.acceptor);
        self.kernel.shutdown(limit).await;
    }
}
