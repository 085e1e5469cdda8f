//! Configurations as another system sent them.

use serde::{Deserialize, Serialize};

/// A configuration as another system sent it, with that system's own numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Number of the document; grows from one accepted document to the next.
    pub number: u64,
    /// Number of the document that this one replaces; 0 for the first one.
    pub base: u64,
    /// The bytes as they were sent.
    pub source: Vec<u8>,
}
