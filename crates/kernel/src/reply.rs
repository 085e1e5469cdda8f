//! A slot for the one reply to a request.

use futures::channel::oneshot;

/// Carries the one reply to a request back to the task that asked.
#[derive(Debug)]
pub struct Reply<R> {
    sender: oneshot::Sender<R>,
}

impl<R> Reply<R> {
    /// Makes a slot and the future that resolves to the reply.
    pub fn new() -> (Self, oneshot::Receiver<R>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Sends the reply; gives it back when nobody waits for it any more.
    ///
    /// # Errors
    /// The reply itself, when the asking task has gone away.
    pub fn send(self, reply: R) -> Result<(), R> {
        self.sender.send(reply)
    }

    /// Whether the asking task has gone away.
    #[must_use]
    pub fn is_canceled(&self) -> bool {
        self.sender.is_canceled()
    }
}
