//! What a target says of itself on the admin port.

use std::net::SocketAddr;

use masticarch_model::{name, target};
use serde::{Deserialize, Serialize};

use super::instance;

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
    /// The run that is announced, where targets tell it.
    #[serde(default)]
    pub instance: Option<instance::Instance>,
}

impl Announcement {
    /// Whether the numbers allow any request to run.
    #[must_use]
    pub const fn is_valid(&self) -> bool {
        self.slots > 0 && self.connections > 0
    }

    /// Whether both say the same of the target, apart from the number of the
    /// announcement.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.address == other.address
            && self.slots == other.slots
            && self.connections == other.connections
            && self.state == other.state
            && self.instance_id() == other.instance_id()
    }

    /// Name of the run that is announced.
    #[must_use]
    pub fn instance_id(&self) -> Option<&str> {
        self.instance.as_ref().map(|instance| &*instance.id)
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
