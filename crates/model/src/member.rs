//! Members of the control group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of a control process with its data directory. A replaced disk means
/// a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

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
