//! Starts the services of a process and stops them in reverse order.

use std::future::Future;
use std::time::Duration;

use futures::channel::oneshot;

use crate::{error, mailbox, name, registry, stop, task};

/// A started service, with what is needed to stop it.
struct Service {
    name: name::Name,
    stop: oneshot::Sender<()>,
    handle: monoio::task::JoinHandle<Option<()>>,
}

/// Owns the registry and the started services of a process.
#[derive(Default)]
pub struct Kernel {
    registry: registry::Registry,
    services: Vec<Service>,
}

impl Kernel {
    /// Makes a kernel without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The addresses of the registered services.
    #[must_use]
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Registers a service under a name and returns its mailbox, which holds up to
    /// `capacity` messages. All services are registered before any is started, so
    /// that each can look up the others whatever the order.
    ///
    /// # Errors
    /// [`error::Error::Taken`] when the name is in use.
    pub fn register<M: 'static>(
        &mut self,
        name: name::Name,
        capacity: usize,
    ) -> Result<mailbox::Mailbox<M>, error::Error> {
        self.registry.register(name, capacity)
    }

    /// Starts a service as a task. `run` receives the signal that asks the service
    /// to stop; its future ends when the service has finished its work.
    pub fn start<F>(&mut self, name: name::Name, run: impl FnOnce(stop::Stop) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let (sender, signal) = stop::Stop::new();
        let handle = task::spawn(name, run(signal));
        self.services.push(Service {
            name,
            stop: sender,
            handle,
        });
    }

    /// Stops all services, one after the other, in the reverse order of their
    /// start. Each has up to `timeout` to finish; a service that takes longer is
    /// logged and not waited for any longer.
    pub async fn shutdown(mut self, timeout: Duration) {
        while let Some(service) = self.services.pop() {
            let _ = service.stop.send(());
            if monoio::time::timeout(timeout, service.handle)
                .await
                .is_err()
            {
                tracing::warn!(service = %service.name, "service did not stop in time");
            }
        }
    }
}
