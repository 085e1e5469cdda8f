//! Announcement of a target, sent to the admin port of the node beside it.

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
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Open connections that it accepts at the same time.
    pub connections: u32,
    /// Whether it takes new requests.
    pub state: target::State,
    /// The announced instance; `None` for targets that do not identify their instances.
    #[serde(default)]
    pub instance: Option<instance::Instance>,
}

impl Announcement {
    /// Whether slots and connections allow any request to run.
    #[must_use]
    pub const fn is_valid(&self) -> bool {
        self.slots > 0 && self.connections > 0
    }

    /// Whether both announce the same state of the same instance. Its start and the
    /// sequence numbers are not compared.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.address == other.address
            && self.slots == other.slots
            && self.connections == other.connections
            && self.state == other.state
            && self.instance_id() == other.instance_id()
    }

    /// Id of the announced instance, if the announcement has one.
    #[must_use]
    pub fn instance_id(&self) -> Option<&str> {
        self.instance.as_ref().map(|instance| &*instance.id)
    }

    /// The target as the control leader publishes it to the fleet.
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
