//! Announcement of a target, sent to the admin port of the node beside it.

use std::net::SocketAddr;
use std::time::SystemTime;

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
    /// Whether slots and connections allow any request to run, and the instance can have
    /// started by `now`.
    #[must_use]
    pub fn is_valid(&self, now: SystemTime) -> bool {
        let instance = self.instance.as_ref();
        let has_started = instance.is_none_or(|instance| instance.may_have_started(now));
        self.slots > 0 && self.connections > 0 && has_started
    }

    /// Whether both announce the same state of the same run. Their sequence numbers are
    /// not compared.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.address == other.address
            && self.slots == other.slots
            && self.connections == other.connections
            && self.state == other.state
            && self.is_same_run(other)
    }

    /// Whether both announce the same run, as far as the target identifies its runs.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        match (&self.instance, &other.instance) {
            (Some(own), Some(other)) => own.is_same_run(other),
            (own, other) => own.is_none() && other.is_none(),
        }
    }

    /// Text that identifies the announced run, if the announcement has an instance.
    #[must_use]
    pub fn run(&self) -> Option<Box<str>> {
        self.instance.as_ref().map(instance::Instance::run)
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
