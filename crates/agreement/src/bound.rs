//! A bound on part of the log.

/// A bound on a run of entries, by their number and by their size. Entries hold
/// anything from nothing to a whole configuration, so neither bounds the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Largest number of entries.
    pub entries: u64,
    /// Largest size of the entries in bytes.
    pub bytes: u64,
}
