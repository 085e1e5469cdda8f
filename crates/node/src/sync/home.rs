//! The home node of a request id.

use std::net::SocketAddr;

use masticarch_model::directory;

/// Where the ledger entry of a request id is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// On this node.
    Local,
    /// On the node with this peer port.
    Remote(SocketAddr),
}

/// A node that may be the home of an id.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    node: directory::NodeKey,
    /// Hash of the node's name.
    hash: u64,
}

/// Finds home nodes by rendezvous hashing: the home of an id is the node whose
/// name and the id give the highest hash. All nodes compute the same, so the
/// hashes are those of a fixed algorithm.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    candidates: Vec<Candidate>,
}

impl Homes {
    /// Hashes the names of all nodes once, so that a look-up costs a few
    /// instructions for each node.
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

/// Spreads the bits of a number over all of its bits (the finaliser of
/// splitmix64).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
