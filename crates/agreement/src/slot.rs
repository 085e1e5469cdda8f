//! An entry in its place in the log.

use crate::entry;

/// An entry of the log in memory.
#[derive(Debug)]
pub struct Slot {
    /// The entry itself.
    pub entry: entry::Entry,
    /// Size of all entries up to this one, in bytes, counted from the entry after
    /// which the log was begun.
    pub end: u64,
}
