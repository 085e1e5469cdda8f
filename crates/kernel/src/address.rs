//! The sending end of a service's message queue.

use futures::SinkExt;
use futures::channel::mpsc;

use crate::{error, reply};

/// The sending end of a [`crate::mailbox::Mailbox`]. It is cheap to clone, and can
/// be used from other threads when the message type is `Send`.
#[derive(Debug)]
pub struct Address<M> {
    sender: mpsc::Sender<M>,
}

impl<M> Clone for Address<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<M> Address<M> {
    pub(crate) fn new(sender: mpsc::Sender<M>) -> Self {
        Self { sender }
    }

    /// Sends a message; waits while the mailbox is full.
    ///
    /// # Errors
    /// [`error::Error::Closed`] when the service has stopped.
    pub async fn send(&self, message: M) -> Result<(), error::Error> {
        let mut sender = self.sender.clone();
        sender.send(message).await.map_err(|_| error::Error::Closed)
    }

    /// Sends a message without waiting.
    ///
    /// # Errors
    /// [`error::Error::Full`] or [`error::Error::Closed`].
    pub fn try_send(&self, message: M) -> Result<(), error::Error> {
        self.sender.clone().try_send(message).map_err(|failure| {
            if failure.is_full() {
                error::Error::Full
            } else {
                error::Error::Closed
            }
        })
    }

    /// Sends a request and waits for its reply. `build` makes the message and
    /// puts the given [`reply::Reply`] into it, through which the service answers.
    ///
    /// # Errors
    /// [`error::Error::Closed`] when the service stops or drops the request.
    pub async fn ask<R>(
        &self,
        build: impl FnOnce(reply::Reply<R>) -> M,
    ) -> Result<R, error::Error> {
        let (slot, answer) = reply::Reply::new();
        self.send(build(slot)).await?;
        answer.await.map_err(|_| error::Error::Closed)
    }
}
