//! A waiting request in the admission queue.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::queue::flow;

new_key_type! {
    /// Key of a waiting request.
    pub struct EntryKey;
}

/// A waiting request.
#[derive(Debug)]
pub struct Entry<T> {
    pub item: T,
    pub rank: u8,
    pub flow: flow::FlowKey,
    pub queued: Instant,
    pub expires: Instant,
    pub service_time: Duration,
}
