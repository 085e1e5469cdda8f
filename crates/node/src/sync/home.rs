//! The home node of a request id.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::SocketAddr;

use masticarch_model::directory;

/// Where the ledger entry of a request id is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// On this node.
    Here,
    /// On the node with this peer port.
    There(SocketAddr),
}

/// The node with the highest hash of its name and the id (rendezvous hashing).
/// All nodes compute the same, so the hash has fixed keys.
#[must_use]
pub fn of<'a>(
    directory: &'a directory::Directory,
    id: &str,
) -> Option<&'a masticarch_model::node::Node> {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    directory
        .nodes
        .values()
        .max_by_key(|node| hasher.hash_one((node.name.as_str(), id)))
}
