//! An entry in its place in the log.

use crate::entry;

/// An entry of the log in memory.
#[derive(Debug)]
pub struct Slot {
    /// The entry itself.
    pub entry: entry::Entry,
    /// Running total of the sizes in bytes, this entry included. The difference of two
    /// totals is the size of the entries between them.
    pub end: u64,
}
