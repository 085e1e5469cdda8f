//! Answers kept for resends.

use serde::{Deserialize, Serialize};

/// Largest answer body that a claim keeps, in bytes.
pub const MAX_KEPT_BYTES: usize = 4096;

/// The first answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`, if the answer had one.
    pub content_type: Option<Box<str>>,
    /// Body, up to [`MAX_KEPT_BYTES`].
    pub body: Box<[u8]>,
}
