//! The task that queues messages for the connections to the other members.

use std::net::SocketAddr;

use futures::FutureExt;
use masticarch_kernel::{address, mailbox, stop, task};
use masticarch_model::{map, member};
use masticarch_wire::handshake;

use super::peer;
use crate::agreement::outgoing;
use crate::name;

/// Maximum number of messages queued for one member. More would be outdated when
/// they are sent; Raft sends lost messages again.
const QUEUE_CAPACITY: usize = 256;

/// The queue of the connection to one member.
struct Queue {
    /// Address for which the connection was made.
    address: SocketAddr,
    sender: address::Address<Vec<u8>>,
}

/// Owns the connections to the other members.
pub struct Service {
    credential: handshake::Credential,
    queues: map::Map<member::Id, Queue>,
}

impl Service {
    /// Makes the service without connections. `credential` is that of the fleet.
    #[must_use]
    pub fn new(credential: handshake::Credential) -> Self {
        Self {
            credential,
            queues: map::Map::default(),
        }
    }

    /// Queues messages until the service is asked to stop.
    pub async fn run(
        mut self,
        mut mailbox: mailbox::Mailbox<outgoing::Outgoing>,
        stop: stop::Stop,
    ) {
        loop {
            let message = futures::select_biased! {
                () = stop.wait().fuse() => return,
                message = mailbox.receive().fuse() => message,
            };
            let Some(message) = message else { return };
            self.enqueue(message);
        }
    }

    /// Queues a message for its member and replaces the connection if the member's
    /// address has changed. The message is dropped if the queue is full.
    fn enqueue(&mut self, message: outgoing::Outgoing) {
        let is_new_address = self
            .queues
            .get(&message.to)
            .is_none_or(|queue| queue.address != message.address);
        if is_new_address {
            let queue = self.connect(message.address);
            self.queues.insert(message.to, queue);
        }
        let _ = self.queues[&message.to].sender.try_send(message.bytes);
    }

    /// Starts the task of a connection, which ends when its queue is dropped.
    fn connect(&self, address: SocketAddr) -> Queue {
        let (sender, mailbox) = mailbox::Mailbox::new(QUEUE_CAPACITY);
        let peer = peer::Peer::new(address, self.credential.clone());
        task::spawn(name::OUTBOUND, peer.run(mailbox));
        Queue { address, sender }
    }
}
