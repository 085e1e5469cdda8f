//! Snapshots.

use std::sync::Arc;

/// A snapshot of the state after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Content, opaque to the store.
    pub payload: Arc<[u8]>,
}

impl Snapshot {
    /// The content of the snapshot file: the index and the payload.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let index = self.index.to_le_bytes();
        [&index[..], &self.payload].concat()
    }

    /// Reads the content of the snapshot file.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (index, payload) = bytes.split_first_chunk()?;
        Some(Self {
            index: u64::from_le_bytes(*index),
            payload: payload.into(),
        })
    }
}
