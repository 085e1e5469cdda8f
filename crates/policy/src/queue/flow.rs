//! The waiting requests of one team within one rank: a flow of fair queueing.

use std::collections::VecDeque;

use masticarch_model::name;
use slotmap::new_key_type;

use crate::queue::entry;

new_key_type! {
    /// Key of a flow within its rank.
    pub struct FlowKey;
}

/// Virtual time of one request at weight 1. It is large, so that the remainder of
/// its division by a weight is negligible.
const REQUEST_COST: u64 = 1_000_000;

/// The waiting requests of one team, and its virtual time: the service that it has
/// received, divided by its weight.
#[derive(Debug)]
pub struct Flow {
    pub team: Option<name::Name>,
    pub weight: u16,
    pub virtual_time: u64,
    pub waiting: u32,
    /// Keys in the order of arrival. The keys of removed requests may remain in the
    /// middle, never at either end.
    pub keys: VecDeque<entry::EntryKey>,
}

impl Flow {
    /// Virtual time of one request of this team.
    pub fn cost(&self) -> u64 {
        REQUEST_COST / u64::from(self.weight.max(1))
    }

    /// Virtual time of the team once all its waiting requests have been served.
    pub fn finish_time(&self) -> u64 {
        self.virtual_time + u64::from(self.waiting) * self.cost()
    }
}
