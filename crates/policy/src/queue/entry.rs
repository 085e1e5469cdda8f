//! A request in the queue.

use std::time::Instant;

use slotmap::new_key_type;

use crate::queue::flow;

new_key_type! {
    /// Copyable key of a queued request.
    pub struct EntryKey;
}

/// A request in the queue.
#[derive(Debug)]
pub struct Entry<T> {
    pub item: T,
    pub rank: u8,
    pub flow: flow::FlowKey,
    pub queued: Instant,
    pub expires: Instant,
}
