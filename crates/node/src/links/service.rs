//! The service that keeps connections to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, reply, stop, task};
use masticarch_model::map;

use super::{message, probe};
use crate::{name, options};

/// Most idle connections kept to one node.
const MAX_IDLE: usize = 64;
/// A node that no request used for this long is forgotten with its connections, so
/// that a node watches those it works with and not the whole fleet.
const UNUSED: Duration = Duration::from_secs(5);

/// Connections to one node that were opened in one generation.
struct Peer {
    epoch: u64,
    idle: Vec<message::Pooled>,
    used: Instant,
    /// Until when the connections are known not to have gone silent.
    verified: Instant,
    /// Shared with the exchanges in flight.
    hold: Rc<()>,
    silent: stop::Stop,
    // Dropped with the generation, which resolves `silent`.
    _alive: oneshot::Sender<()>,
}

struct Links {
    options: Rc<options::Options>,
    own: address::Address<message::Message>,
    peers: map::Map<SocketAddr, Peer>,
    epochs: u64,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    own: address::Address<message::Message>,
    options: Rc<options::Options>,
    stop: stop::Stop,
) {
    let mut links = Links {
        options,
        own,
        peers: map::Map::default(),
        epochs: 0,
    };
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message), _)) => links.handle(message),
            _ => return,
        }
    }
}

impl Links {
    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Checkout(address, reply) => self.checkout(address, reply),
            message::Message::Checkin(address, epoch, connection) => {
                self.checkin(address, epoch, connection);
            }
            message::Message::Due(address, epoch, reply) => {
                let _ = reply.send(self.is_due(address, epoch));
            }
            message::Message::Alive(address, epoch) => {
                if let Some(peer) = self.generation(address, epoch) {
                    peer.verified = Instant::now();
                }
            }
            message::Message::Silent(address, epoch) => {
                if self.generation(address, epoch).is_some() {
                    self.peers.remove(&address);
                }
            }
        }
    }

    fn checkout(&mut self, address: SocketAddr, reply: reply::Reply<message::Ticket>) {
        if !self.peers.contains_key(&address) {
            let peer = self.begin(address);
            self.peers.insert(address, peer);
        }
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.used = Instant::now();
        let ticket = message::Ticket {
            connection: take(&mut peer.idle),
            epoch: peer.epoch,
            silent: peer.silent.clone(),
            hold: Rc::clone(&peer.hold),
        };
        if let Err(message::Ticket {
            connection: Some(connection),
            ..
        }) = reply.send(ticket)
        {
            peer.idle.push(connection);
        }
    }

    fn checkin(&mut self, address: SocketAddr, epoch: u64, pooled: message::Pooled) {
        let Some(peer) = self.generation(address, epoch) else {
            return;
        };
        // A connection that was opened later says nothing about the earlier ones.
        if pooled.opened <= peer.verified {
            peer.verified = Instant::now();
        }
        if peer.idle.len() < MAX_IDLE {
            peer.idle.push(pooled);
        }
    }

    /// Whether a generation must be probed; forgets one that is out of use.
    fn is_due(&mut self, address: SocketAddr, epoch: u64) -> bool {
        let Some(peer) = self.generation(address, epoch) else {
            return false;
        };
        if Rc::strong_count(&peer.hold) == 1 && peer.used.elapsed() > UNUSED {
            self.peers.remove(&address);
            return false;
        }
        peer.verified.elapsed() >= probe::INTERVAL
    }

    fn generation(&mut self, address: SocketAddr, epoch: u64) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&address);
        peer.filter(|peer| peer.epoch == epoch)
    }

    fn begin(&mut self, address: SocketAddr) -> Peer {
        self.epochs += 1;
        let (alive, silent) = stop::Stop::new();
        let credential = self.options.credential.clone();
        let watch = probe::run(address, self.epochs, credential, self.own.clone());
        let ended = silent.clone();
        drop(task::spawn(name::LINKS, async move {
            let watch = std::pin::pin!(watch);
            let ended = std::pin::pin!(ended.wait());
            future::select(watch, ended).await;
        }));
        Peer {
            epoch: self.epochs,
            idle: Vec::new(),
            used: Instant::now(),
            verified: Instant::now(),
            hold: Rc::new(()),
            silent,
            _alive: alive,
        }
    }
}

/// The connection used last that is still fit for use.
fn take(idle: &mut Vec<message::Pooled>) -> Option<message::Pooled> {
    while let Some(mut pooled) = idle.pop() {
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
    }
    None
}
