//! The task that hands messages to the connections of the other members.

use std::net::SocketAddr;

use futures::FutureExt;
use masticarch_kernel::{address, mailbox, stop, task};
use masticarch_model::{map, member};
use masticarch_wire::handshake;

use super::peer;
use crate::agreement::outgoing;
use crate::name;

/// Messages that wait for one member. More would be out of date when they are
/// sent; the agreement sends again what is lost.
const QUEUE_CAPACITY: usize = 256;

/// The connection to one member.
struct Peer {
    /// Where the member was reached when the connection was set up.
    address: SocketAddr,
    queue: address::Address<Vec<u8>>,
}

/// Owner of the connections to the other members.
pub struct Service {
    credential: handshake::Credential,
    peers: map::Map<member::Id, Peer>,
}

impl Service {
    /// Makes the service with the fleet's secret.
    #[must_use]
    pub fn new(credential: handshake::Credential) -> Self {
        Self {
            credential,
            peers: map::Map::default(),
        }
    }

    /// Hands on messages until the service is asked to stop.
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

    /// Queues a message for its member. A full queue counts as a loss.
    fn enqueue(&mut self, message: outgoing::Outgoing) {
        let is_new_address = self
            .peers
            .get(&message.to)
            .is_none_or(|peer| peer.address != message.address);
        if is_new_address {
            let peer = self.connect(message.address);
            self.peers.insert(message.to, peer);
        }
        let _ = self.peers[&message.to].queue.try_send(message.bytes);
    }

    /// Starts the task of a connection; it ends when its queue is dropped.
    fn connect(&self, address: SocketAddr) -> Peer {
        let (queue, mailbox) = mailbox::Mailbox::new(QUEUE_CAPACITY);
        let peer = peer::Peer::new(address, self.credential.clone());
        task::spawn(name::OUTBOUND, peer.run(mailbox));
        Peer { address, queue }
    }
}
