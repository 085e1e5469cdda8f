//! The receiving end of a service's message queue.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::channel::mpsc;
use futures::{Stream, StreamExt};

use crate::address;

/// The receiving end of a bounded queue of messages of type `M`.
///
/// A mailbox is a [`Stream`], so that a service can wait for messages and for
/// timers or sockets at once.
#[derive(Debug)]
pub struct Mailbox<M> {
    queue: mpsc::Receiver<M>,
}

impl<M> Mailbox<M> {
    /// Makes a mailbox that holds up to `capacity` messages, and its first address.
    #[must_use]
    pub fn new(capacity: usize) -> (address::Address<M>, Self) {
        let (sender, queue) = mpsc::channel(capacity);
        (address::Address::new(sender), Self { queue })
    }

    /// Waits for the next message; `None` once all addresses have been dropped.
    pub async fn receive(&mut self) -> Option<M> {
        self.queue.next().await
    }

    /// Takes a message that has already arrived; `None` when there is none.
    pub fn try_receive(&mut self) -> Option<M> {
        self.queue.try_recv().ok()
    }
}

impl<M> Stream for Mailbox<M> {
    type Item = M;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<M>> {
        self.queue.poll_next_unpin(context)
    }
}
