//! The service that pools connections to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, reply, stop, task};
use masticarch_model::map;

use super::{message, probe};
use crate::{name, options};

/// Most idle connections that are kept to one node.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Time without a request after which the connections to a node are closed, so that a
/// node probes only the nodes that it sends requests to, not the whole fleet.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The current generation of connections to one node.
struct Peer {
    generation: u64,
    idle: Vec<message::Pooled>,
    last_used: Instant,
    /// Last time at which the connections were known to respond: an answer to a request
    /// or to a probe arrived then.
    verified: Instant,
    /// Cloned for each exchange in flight.
    in_use: Rc<()>,
    suspect: stop::Stop,
    silent: stop::Stop,
}

struct Links {
    options: Rc<options::Options>,
    own: address::Address<message::Message>,
    peers: map::Map<SocketAddr, Peer>,
    last_generation: u64,
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
        last_generation: 0,
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
            message::Message::Checkin(address, generation, connection) => {
                self.checkin(address, generation, connection);
            }
            message::Message::IsProbeDue(address, generation, reply) => {
                let _ = reply.send(self.is_probe_due(address, generation));
            }
            message::Message::Alive(address, generation) => {
                if let Some(peer) = self.peer_mut(address, generation) {
                    peer.verified = Instant::now();
                }
            }
            message::Message::Retire(address, generation) => {
                if self.peer_mut(address, generation).is_some() {
                    self.peers.remove(&address);
                }
            }
        }
    }

    fn checkout(&mut self, address: SocketAddr, reply: reply::Reply<message::Checkout>) {
        if !self.peers.contains_key(&address) {
            let peer = self.start_generation(address);
            self.peers.insert(address, peer);
        }
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.last_used = Instant::now();
        let checkout = message::Checkout {
            connection: take_idle(&mut peer.idle),
            generation: peer.generation,
            suspect: peer.suspect.clone(),
            silent: peer.silent.clone(),
            in_use: Rc::clone(&peer.in_use),
        };
        if let Err(message::Checkout {
            connection: Some(connection),
            ..
        }) = reply.send(checkout)
        {
            peer.idle.push(connection);
        }
    }

    fn checkin(&mut self, address: SocketAddr, generation: u64, pooled: message::Pooled) {
        let Some(peer) = self.peer_mut(address, generation) else {
            return;
        };
        // An answer on a connection that was opened later does not show that the earlier
        // ones still respond.
        if pooled.opened <= peer.verified {
            peer.verified = Instant::now();
        }
        if peer.idle.len() < MAX_IDLE_CONNECTIONS {
            peer.idle.push(pooled);
        }
    }

    /// Whether a generation must be probed; removes one that is no longer used.
    fn is_probe_due(&mut self, address: SocketAddr, generation: u64) -> probe::Due {
        let Some(peer) = self.peer_mut(address, generation) else {
            return probe::Due::Ended;
        };
        if Rc::strong_count(&peer.in_use) == 1 && peer.last_used.elapsed() > IDLE_TIMEOUT {
            self.peers.remove(&address);
            return probe::Due::Ended;
        }
        if peer.verified.elapsed() >= probe::INTERVAL {
            probe::Due::Now
        } else {
            probe::Due::Later
        }
    }

    fn peer_mut(&mut self, address: SocketAddr, generation: u64) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&address);
        peer.filter(|peer| peer.generation == generation)
    }

    fn start_generation(&mut self, address: SocketAddr) -> Peer {
        self.last_generation += 1;
        let (trusted, suspect) = stop::Stop::new();
        let (not_silent, silent) = stop::Stop::new();
        let in_use = Rc::new(());
        let generation = probe::Generation {
            peer: address,
            number: self.last_generation,
            credential: self.options.credential.clone(),
            links: self.own.clone(),
            in_use: Rc::downgrade(&in_use),
            trusted: Some(trusted),
            silent: not_silent,
        };
        drop(task::spawn(name::LINKS, probe::run(generation)));
        Peer {
            generation: self.last_generation,
            idle: Vec::new(),
            last_used: Instant::now(),
            verified: Instant::now(),
            in_use,
            suspect,
            silent,
        }
    }
}

/// Takes the connection that was used last of those that are still open.
fn take_idle(idle: &mut Vec<message::Pooled>) -> Option<message::Pooled> {
    while let Some(mut pooled) = idle.pop() {
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
    }
    None
}
