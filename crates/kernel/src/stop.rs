//! The signal that asks a service to stop.

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;

/// Resolves when the kernel asks a service to stop; cheap to clone.
#[derive(Clone, Debug)]
pub struct Stop {
    receiver: Shared<oneshot::Receiver<()>>,
}

impl Stop {
    /// Makes a signal and its sender. The signal is set when the sender sends or is
    /// dropped.
    #[must_use]
    pub fn new() -> (oneshot::Sender<()>, Self) {
        let (sender, receiver) = oneshot::channel();
        let receiver = receiver.shared();
        (sender, Self { receiver })
    }

    /// Waits until the service is asked to stop.
    pub async fn wait(&self) {
        let _ = self.receiver.clone().await;
    }

    /// Whether the service has been asked to stop.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.receiver.clone().now_or_never().is_some()
    }
}
