//! A stand-in on a separate thread, as the harness runs it.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::channel::oneshot;
use masticarch_kernel::{address, runtime};

use super::{behaviour, crash, handle, record, scheduler, settings};
use crate::error;

/// Time that the stand-in gets to stop its services.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Mailbox addresses of the services of a stand-in.
type Mailboxes = (
    address::Address<scheduler::Message>,
    address::Address<crash::Message>,
);

/// Handle of a stand-in that runs on a separate thread with its own runtime; it stops
/// when dropped.
pub struct Thread {
    settings: settings::Settings,
    scheduler: address::Address<scheduler::Message>,
    crash: address::Address<crash::Message>,
    stop: Option<oneshot::Sender<()>>,
    join_handle: Option<thread::JoinHandle<()>>,
}

impl Thread {
    /// Starts the thread and waits until the stand-in listens.
    ///
    /// # Errors
    /// [`error::Error::Io`] when an address cannot be bound.
    pub fn start(settings: settings::Settings) -> Result<Self, error::Error> {
        let (stop, stopped) = oneshot::channel();
        let (started, outcome) = mpsc::channel();
        let own = settings.clone();
        let join_handle = thread::spawn(move || {
            let _ = runtime::run(serve(own, started, stopped));
        });
        let (scheduler, crash) = outcome
            .recv()
            .map_err(|_| error::Error::Timeout("the start of a stand-in".into()))??;
        Ok(Self {
            settings,
            scheduler,
            crash,
            stop: Some(stop),
            join_handle: Some(join_handle),
        })
    }

    /// Settings with which the stand-in was started.
    #[must_use]
    pub const fn settings(&self) -> &settings::Settings {
        &self.settings
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

    /// Crashes the stand-in; it comes back by itself.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the stand-in has stopped.
    pub async fn crash(&self) -> Result<(), error::Error> {
        Ok(self.crash.send(crash::Message::Crash).await?)
    }

    /// Returns the executions so far.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the stand-in has stopped.
    pub async fn executions(&self) -> Result<record::Executions, error::Error> {
        Ok(self.scheduler.ask(scheduler::Message::Executions).await?)
    }
}

/// Runs a stand-in until the sender of `stopped` is dropped. Reports through
/// `started` whether it could be started.
async fn serve(
    settings: settings::Settings,
    started: mpsc::Sender<Result<Mailboxes, error::Error>>,
    stopped: oneshot::Receiver<()>,
) {
    match handle::Handle::start(settings) {
        Ok(handle) => {
            let _ = started.send(Ok((handle.scheduler(), handle.crash())));
            let _ = stopped.await;
            handle.stop(STOP_TIMEOUT).await;
        }
        Err(failure) => {
            let _ = started.send(Err(failure));
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(join_handle) = self.join_handle.take() {
            let _ = join_handle.join();
        }
    }
}
