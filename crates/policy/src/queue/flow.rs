//! The waiting requests of one team within one rank.

use std::collections::VecDeque;

use masticarch_model::name;
use slotmap::new_key_type;

use crate::queue::entry;

new_key_type! {
    /// Copyable key of a lane within its rank.
    pub struct FlowKey;
}

/// Service of one request, in units that divide evenly enough by any weight.
const REQUEST_COST: u64 = 1_000_000;

/// The waiting requests of one team, and the service that the team has received
/// per unit of weight.
#[derive(Debug)]
pub struct Flow {
    pub team: Option<name::Name>,
    pub weight: u16,
    pub virtual_time: u64,
    pub waiting: u32,
    /// Keys in the order of arrival; keys of removed requests are skipped.
    pub keys: VecDeque<entry::EntryKey>,
}

impl Flow {
    /// Service per weight that one request costs.
    pub fn cost(&self) -> u64 {
        REQUEST_COST / u64::from(self.weight.max(1))
    }

    /// Service per weight once every waiting request has been served.
    pub fn finish_time(&self) -> u64 {
        self.virtual_time + u64::from(self.waiting) * self.cost()
    }
}
