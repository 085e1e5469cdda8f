//! Assembly of a snapshot from chunks.

use crate::snapshot;

/// A snapshot that is being received.
#[derive(Debug)]
pub struct Assembly {
    meta: snapshot::Meta,
    /// Size of the whole snapshot in bytes.
    total: u64,
    data: Vec<u8>,
}

impl Assembly {
    /// Starts without any chunk of a snapshot of `total` bytes.
    pub fn new(meta: snapshot::Meta, total: u64) -> Self {
        Self {
            meta,
            total,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this snapshot. The position determines the
    /// state, so chunks of different leaders can be joined if the encoding is
    /// the same too; the size is compared to notice another encoding.
    pub fn matches(&self, meta: &snapshot::Meta, total: u64) -> bool {
        self.meta == *meta && self.total == total
    }

    /// Appends the chunk at `offset`, unless it is repeated, out of order or
    /// longer than the rest of the snapshot.
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

    /// The snapshot with all bytes received so far.
    pub fn into_snapshot(self) -> snapshot::Snapshot {
        snapshot::Snapshot {
            meta: self.meta,
            data: self.data.into(),
        }
    }
}
