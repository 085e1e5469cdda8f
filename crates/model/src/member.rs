//! Members of the control group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of a control process with its data directory. A replaced disk means
/// a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// The id of a first member, which all first members derive alike from its
    /// address. A member that replaces a lost disk draws a random id.
    #[must_use]
    pub fn of_founder(address: SocketAddr) -> Self {
        let digest = blake3::hash(address.to_string().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// A member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member.
    pub id: Id,
    /// Address of its member port.
    pub address: SocketAddr,
    /// Whether it votes; a learner receives the log without a vote.
    pub voter: bool,
}
