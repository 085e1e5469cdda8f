//! A running stand-in.

use std::time::{Duration, Instant};

use masticarch_kernel::{address, kernel};
use monoio::net::TcpListener;

use super::{announcer, behaviour, control, crash, record, scheduler, settings};
use crate::error;
use crate::http::server;

/// Messages that the scheduler's mailbox holds before senders wait.
const MAILBOX_CAPACITY: usize = 1024;

/// Handle of a stand-in that runs on the current runtime.
pub struct Handle {
    kernel: kernel::Kernel,
    scheduler: address::Address<scheduler::Message>,
    crash: address::Address<crash::Message>,
}

impl Handle {
    /// Starts a stand-in on the current runtime.
    ///
    /// # Errors
    /// [`error::Error::Io`] when an address cannot be bound.
    pub fn start(settings: settings::Settings) -> Result<Self, error::Error> {
        let requests = TcpListener::bind(settings.address)?;
        let controls = TcpListener::bind(settings.control)?;
        let mut kernel = kernel::Kernel::new();
        let mailbox = kernel.register::<scheduler::Message>(scheduler::NAME, MAILBOX_CAPACITY)?;
        let address = kernel
            .registry()
            .lookup::<scheduler::Message>(scheduler::NAME)?;
        let state = scheduler::Scheduler::new(settings.clone(), Instant::now());
        kernel.start(scheduler::NAME, |stop| state.run(mailbox, stop));
        let crashes = kernel.register::<crash::Message>(crash::NAME, MAILBOX_CAPACITY)?;
        let crash = kernel.registry().lookup::<crash::Message>(crash::NAME)?;
        let (own, scheduler) = (settings.clone(), address.clone());
        let mailbox = (crash.clone(), crashes);
        kernel.start(crash::NAME, |stop| {
            crash::serve(own, requests, mailbox, scheduler, stop)
        });
        let handler = control::Control::new(address.clone());
        kernel.start(control::NAME, |stop| {
            server::serve(controls, control::MAX_CONNECTIONS, handler, stop)
        });
        let scheduler = address.clone();
        kernel.start(announcer::NAME, |stop| {
            announcer::run(settings, scheduler, stop)
        });
        Ok(Self {
            kernel,
            scheduler: address,
            crash,
        })
    }

    /// Mailbox address of the scheduler, which other threads may use.
    #[must_use]
    pub fn scheduler(&self) -> address::Address<scheduler::Message> {
        self.scheduler.clone()
    }

    /// Mailbox address that takes crashes, which other threads may use.
    #[must_use]
    pub fn crash(&self) -> address::Address<crash::Message> {
        self.crash.clone()
    }

    /// Changes the behaviour and returns the new one.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the stand-in has stopped.
    pub async fn change(
        &self,
        change: behaviour::Change,
    ) -> Result<behaviour::Behaviour, error::Error> {
        let build = |reply| scheduler::Message::Change(change, reply);
        Ok(self.scheduler.ask(build).await?)
    }

    /// Returns the executions so far.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the stand-in has stopped.
    pub async fn executions(&self) -> Result<record::Executions, error::Error> {
        Ok(self.scheduler.ask(scheduler::Message::Executions).await?)
    }

    /// Stops the stand-in, waiting for its services up to the timeout.
    pub async fn stop(self, timeout: Duration) {
        self.kernel.shutdown(timeout).await;
    }
}
