//! The home node of a request id, which keeps its ledger entry.

use std::net::SocketAddr;

use masticarch_model::directory;

/// Home node of a request id, as seen from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// This node.
    Local,
    /// The node with this peer port.
    Remote(SocketAddr),
}

/// A node of the fleet with its hash.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    node: directory::NodeKey,
    /// Hash of the node's name.
    hash: u64,
}

/// Finds home nodes by rendezvous hashing: the home of an id is the node whose name
/// gives the highest hash together with the id. All nodes must find the same home, so
/// the hash algorithms are fixed.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    candidates: Vec<Candidate>,
}

impl Homes {
    /// Hashes the names of all nodes once, so that a lookup costs only a few
    /// instructions per node.
    #[must_use]
    pub fn new(directory: &directory::Directory) -> Self {
        let candidates = directory.nodes.iter().map(|(node, record)| Candidate {
            node,
            hash: hash(record.name.as_bytes()),
        });
        Self {
            candidates: candidates.collect(),
        }
    }

    /// The home node of an id; `None` while no node is known.
    #[must_use]
    pub fn of(&self, id: &str) -> Option<directory::NodeKey> {
        let id = hash(id.as_bytes());
        let highest = self
            .candidates
            .iter()
            .max_by_key(|candidate| mix(candidate.hash ^ id))?;
        Some(highest.node)
    }
}

/// The first eight bytes of a BLAKE3 hash.
fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Mixes the bits of a number, so that each bit of the input affects all of the result
/// (the finaliser of splitmix64).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
