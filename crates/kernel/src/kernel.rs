//! Start and stop order of the services of a process.

use std::future::Future;
use std::time::Duration;

use futures::channel::oneshot;

use crate::{error, mailbox, name, registry, stop, task};

/// A started service, as the kernel keeps it.
struct Running {
    name: name::Name,
    stop: oneshot::Sender<()>,
    handle: monoio::task::JoinHandle<Option<()>>,
}

/// Owns the registry and the started services of a process.
#[derive(Default)]
pub struct Kernel {
    registry: registry::Registry,
    running: Vec<Running>,
}

impl Kernel {
    /// Makes a kernel without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The table of services by name.
    #[must_use]
    pub fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Registers a service name and returns its mailbox. All names are
    /// registered before any service starts, so that services may refer to each
    /// other in any order.
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

    /// Starts a service as a task. `run` gets the signal that asks it to stop
    /// and returns when the service has finished its work.
    pub fn start<F>(&mut self, name: name::Name, run: impl FnOnce(stop::Stop) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        let (sender, signal) = stop::Stop::new();
        let handle = task::spawn(name, run(signal));
        self.running.push(Running {
            name,
            stop: sender,
            handle,
        });
    }

    /// Stops all services in the reverse order of their start. Each gets up to
    /// `limit` to finish; a service that takes longer is left behind and logged.
    pub async fn shutdown(mut self, limit: Duration) {
        while let Some(service) = self.running.pop() {
            let _ = service.stop.send(());
            if monoio::time::timeout(limit, service.handle).await.is_err() {
                tracing::warn!(service = %service.name, "service did not stop in time");
            }
        }
    }
}
