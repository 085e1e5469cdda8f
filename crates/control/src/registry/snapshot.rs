//! A snapshot of the catalog.

/// An encoded catalog and the log index up to which it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Log index.
    pub index: u64,
    /// Encoding of the catalog.
    pub bytes: Vec<u8>,
}
