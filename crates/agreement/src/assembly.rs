//! Assembly of a snapshot from chunks.

use crate::snapshot;

/// A snapshot that is being received.
#[derive(Debug)]
pub struct Assembly {
    meta: snapshot::Meta,
    total: u64,
    data: Vec<u8>,
}

impl Assembly {
    /// Starts to receive a snapshot.
    pub fn new(meta: snapshot::Meta, total: u64) -> Self {
        Self {
            meta,
            total,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this snapshot. The state is a function of the
    /// position, so chunks from different leaders fit together only if the
    /// encoding is the same; the size is compared as well.
    pub fn matches(&self, meta: &snapshot::Meta, total: u64) -> bool {
        self.meta == *meta && self.total == total
    }

    /// Takes the chunk at `offset`, unless it is repeated or out of order.
    pub fn add_chunk(&mut self, offset: u64, chunk: &[u8]) {
        if offset == self.received() && offset + chunk.len() as u64 <= self.total {
            self.data.extend_from_slice(chunk);
        }
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Whether all bytes have arrived.
    pub fn is_complete(&self) -> bool {
        self.received() == self.total
    }

    /// The received snapshot.
    pub fn into_snapshot(self) -> snapshot::Snapshot {
        snapshot::Snapshot {
            meta: self.meta,
            data: self.data.into(),
        }
    }
}
