//! Responses that are stored to answer resent requests.

use serde::{Deserialize, Serialize};

/// Largest response body that a claim keeps, in bytes.
pub const MAX_BODY_BYTES: usize = 4096;

/// The first response to a non-idempotent request, which a resend gets again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; `None` when there was none.
    pub content_type: Option<Box<str>>,
    /// Body, up to [`MAX_BODY_BYTES`].
    pub body: Box<[u8]>,
}
