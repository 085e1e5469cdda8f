//! A stand-in on a thread of its own, as the harness runs it.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::channel::oneshot;
use masticarch_kernel::{address, runtime};

use super::{behaviour, handle, record, scheduler, settings};
use crate::error;

/// Time for the stand-in to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A stand-in on a thread of its own; it stops when dropped.
pub struct Thread {
    settings: settings::Settings,
    scheduler: address::Address<scheduler::Message>,
    stop: Option<oneshot::Sender<()>>,
    join_handle: Option<thread::JoinHandle<()>>,
}

impl Thread {
    /// Starts a stand-in.
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
        let scheduler = outcome
            .recv()
            .map_err(|_| error::Error::Timeout("the start of a stand-in".into()))??;
        Ok(Self {
            settings,
            scheduler,
            stop: Some(stop),
            join_handle: Some(join_handle),
        })
    }

    /// What it was started with.
    #[must_use]
    pub const fn settings(&self) -> &settings::Settings {
        &self.settings
    }

    /// Changes the behaviour.
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

    /// Reads the executions so far.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when the stand-in has stopped.
    pub async fn executions(&self) -> Result<record::Executions, error::Error> {
        Ok(self.scheduler.ask(scheduler::Message::Executions).await?)
    }
}

/// Runs a stand-in until it is stopped.
async fn serve(
    settings: settings::Settings,
    started: mpsc::Sender<Result<address::Address<scheduler::Message>, error::Error>>,
    stopped: oneshot::Receiver<()>,
) {
    match handle::Handle::start(settings) {
        Ok(handle) => {
            let _ = started.send(Ok(handle.scheduler()));
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
