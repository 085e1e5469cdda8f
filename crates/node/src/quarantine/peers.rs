//! The nodes that have targets of the same services, and what each of them has been sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{directory, incarnation, map, name, node};
use masticarch_policy::quarantine::{evidence, record, table};
use masticarch_wire::message::quarantine as wire;

use super::convert;

/// Shortest time between two batches to one node.
const PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a batch that was not acknowledged is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Most bytes of the records in a batch, before they are encoded.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Bytes of a record or a crash besides its texts, at most.
const MAX_FIXED_BYTES: usize = 40;

/// The other nodes that have, or had, targets of the services of this node.
#[derive(Debug, Default)]
pub struct Peers {
    /// Services of the targets of this node so far.
    services: map::Set<name::Name>,
    peers: map::Map<name::Name, Peer>,
}

#[derive(Debug)]
struct Peer {
    incarnation: incarnation::Incarnation,
    address: SocketAddr,
    /// Services of its targets so far. A target that has crashed is not announced, but
    /// comes back.
    services: map::Set<name::Name>,
    /// Version of the table up to which the node has all changes; `None` while it has
    /// nothing.
    acknowledged: Option<u64>,
    is_sending: bool,
    next_push: Instant,
}

/// A batch of records for another node.
#[derive(Debug)]
pub struct Push {
    /// Name of the node.
    pub node: name::Name,
    /// Its run.
    pub incarnation: incarnation::Incarnation,
    /// Its peer port.
    pub address: SocketAddr,
    /// Version of the table that it has once it acknowledges the batch.
    pub version: u64,
    /// The records.
    pub batch: wire::Batch,
}

impl Peers {
    /// Installs a directory. A node that has restarted knows nothing.
    pub fn install(&mut self, directory: &directory::Directory, own: &name::Name, now: Instant) {
        let nodes = directory.nodes.values();
        let present: map::Set<_> = nodes.map(|node| (&node.name, node.incarnation)).collect();
        self.peers
            .retain(|name, peer| present.contains(&(name, peer.incarnation)));
        for target in directory.targets.values() {
            if directory.nodes[target.node].name == *own {
                self.services.insert(target.record.service.clone());
            }
        }
        for target in directory.targets.values() {
            let node = &directory.nodes[target.node];
            if node.name != *own && self.services.contains(&target.record.service) {
                self.add(node, &target.record.service, now);
            }
        }
    }

    /// Takes a batch that is due.
    pub fn take_due(&mut self, table: &table::Table, now: Instant) -> Option<Push> {
        let version = table.version();
        for (node, peer) in &mut self.peers {
            if !peer.is_due(version) || peer.next_push > now {
                continue;
            }
            let push = peer.batch(node, table, now);
            if push.batch.records.is_empty() {
                peer.acknowledged = Some(push.version);
                continue;
            }
            peer.is_sending = true;
            peer.next_push = now + PUSH_INTERVAL;
            return Some(push);
        }
        None
    }

    /// Records whether a node has acknowledged a batch.
    pub fn pushed(
        &mut self,
        node: &name::Name,
        incarnation: incarnation::Incarnation,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        let peer = self.peers.get_mut(node);
        let Some(peer) = peer.filter(|peer| peer.incarnation == incarnation) else {
            return;
        };
        peer.is_sending = false;
        if acknowledged.is_some() {
            peer.acknowledged = peer.acknowledged.max(acknowledged);
        } else {
            peer.next_push = now + RETRY_INTERVAL;
        }
    }

    /// When the next batch is due, if the table has this version.
    #[must_use]
    pub fn wake(&self, version: u64) -> Option<Instant> {
        let due = self.peers.values().filter(|peer| peer.is_due(version));
        due.map(|peer| peer.next_push).min()
    }

    fn add(&mut self, node: &node::Node, service: &name::Name, now: Instant) {
        let peer = self.peers.entry(node.name.clone()).or_insert_with(|| Peer {
            incarnation: node.incarnation,
            address: node.peer,
            services: map::Set::default(),
            acknowledged: None,
            is_sending: false,
            next_push: now,
        });
        peer.address = node.peer;
        if !peer.services.contains(service) {
            peer.services.insert(service.clone());
        }
    }
}

impl Peer {
    fn is_due(&self, version: u64) -> bool {
        !self.is_sending && self.acknowledged != Some(version)
    }

    /// The changes that the node does not have, the oldest first. A node that has nothing
    /// gets what others have told this node too, the worst first.
    fn batch(&self, node: &name::Name, table: &table::Table, now: Instant) -> Push {
        let known = self.acknowledged.unwrap_or(0);
        let is_new = |version: u64| self.acknowledged.is_none() || version > known;
        let mut records: Vec<_> = table
            .iter()
            .filter(|(_, record)| is_new(record.version) && self.services.contains(&record.service))
            .collect();
        if self.acknowledged.is_some() {
            records.sort_unstable_by_key(|(_, record)| record.version);
        } else {
            records.sort_unstable_by_key(|(_, record)| std::cmp::Reverse(record.count()));
        }
        let mut bytes = 0;
        let fitting = records.iter().take_while(|(_, record)| {
            bytes += size(record);
            bytes <= MAX_BATCH_BYTES
        });
        let fitting = fitting.count();
        let is_whole = fitting == records.len() || self.acknowledged.is_none();
        records.truncate(fitting);
        let last = records.last().map_or(0, |(_, record)| record.version);
        let version = if is_whole { table.version() } else { last };
        let encode = |(fingerprint, record)| convert::to_wire(fingerprint, record, now);
        Push {
            node: node.clone(),
            incarnation: self.incarnation,
            address: self.address,
            version,
            batch: wire::Batch {
                records: records.into_iter().map(encode).collect(),
            },
        }
    }
}

/// Bytes that a record takes in a batch, at most.
fn size(record: &record::Record) -> usize {
    let size = |evidence: &evidence::Evidence| {
        MAX_FIXED_BYTES + evidence.target.len() + evidence.request.len()
    };
    let evidence: usize = record.evidence.iter().map(size).sum();
    MAX_FIXED_BYTES + record.service.len() + evidence
}
