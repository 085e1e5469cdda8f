//! Members of the control group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies a control process together with its data directory. A process that
/// loses its data directory gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// The id of an initial member of the group. It is a hash of the address, so
    /// that all initial members compute the same ids. A member that replaces a lost
    /// disk has a random id instead.
    #[must_use]
    pub fn from_address(address: SocketAddr) -> Self {
        let digest = blake3::hash(address.to_string().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the member.
    pub id: Id,
    /// Address of its member port.
    pub address: SocketAddr,
    /// Whether it votes. A member that doesn't is a learner: it receives the log only.
    pub voter: bool,
}
