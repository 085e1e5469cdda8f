//! What a target says of itself on the admin port.

use std::net::SocketAddr;

use masticarch_model::{name, target};
use serde::{Deserialize, Serialize};

/// Body of `PUT /targets/{service}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where the target listens.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: target::State,
}

impl Announcement {
    /// Whether the numbers allow any request to run.
    #[must_use]
    pub const fn is_valid(&self) -> bool {
        self.slots > 0 && self.connections > 0
    }

    /// The target as the fleet sees it.
    #[must_use]
    pub fn target(&self, service: name::Name) -> target::Target {
        target::Target {
            service,
            slots: self.slots,
            connections: self.connections,
            state: self.state,
        }
    }
}
