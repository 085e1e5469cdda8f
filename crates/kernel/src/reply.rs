//! One-shot channel for the reply to a request.

use futures::channel::oneshot;

/// The sending end of a one-shot channel. A request carries it, and the service
/// sends the reply through it to the task that asked.
#[derive(Debug)]
pub struct Reply<R> {
    sender: oneshot::Sender<R>,
}

impl<R> Reply<R> {
    /// Makes the sending end, and the future that resolves to the reply.
    pub fn new() -> (Self, oneshot::Receiver<R>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Sends the reply.
    ///
    /// # Errors
    /// The reply itself, when the asking task no longer waits for it.
    pub fn send(self, reply: R) -> Result<(), R> {
        self.sender.send(reply)
    }

    /// Whether the asking task no longer waits for the reply.
    #[must_use]
    pub fn is_canceled(&self) -> bool {
        self.sender.is_canceled()
    }
}
