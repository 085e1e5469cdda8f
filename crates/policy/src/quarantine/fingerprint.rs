//! Identity of a request by its content.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digests that identify a request by its content: copies of a request have the same
/// fingerprint, whatever their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Digest of the service, the team, the method, the host and the path with the query.
    pub head: u128,
    /// Digest of the body.
    pub body: u128,
}

impl fmt::Display for Fingerprint {
    /// Writes a short form for logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let short = (self.head ^ self.body.rotate_left(1)) >> 64;
        write!(formatter, "{short:016x}")
    }
}
