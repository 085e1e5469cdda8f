//! Configuration documents of another system.

use serde::{Deserialize, Serialize};

/// A configuration as another system sent it, with that system's version numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version number of the document; each accepted document has a higher one than
    /// the last.
    pub number: u64,
    /// Version number of the document that this one replaces; 0 for the first one.
    pub base: u64,
    /// The unparsed bytes of the document.
    pub source: Vec<u8>,
}
