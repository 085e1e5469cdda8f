//! Metadata of a caller's request.

use crate::gate::request;

/// What a protocol reads from the headers of a caller's request.
#[derive(Debug)]
pub struct Metadata {
    /// What the gate decides on.
    pub request: request::Request,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
}
