//! HTTP responses with their whole body.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};

use super::{budget, request};

/// An HTTP response with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers. Those of an answer to be sent must not have `content-length`, which
    /// [`Self::encode_head`] adds.
    pub headers: HeaderMap,
    /// Whole body, without transfer coding.
    pub body: Bytes,
    /// Memory that is reserved for the body.
    pub reservation: budget::Reservation,
    /// Whether the sender keeps the connection open after the answer.
    pub keep_alive: bool,
}

impl Answer {
    /// Makes an answer without headers.
    #[must_use]
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.into(),
            reservation: budget::Reservation::default(),
            keep_alive: true,
        }
    }

    /// Whether the answer has neither a body nor a length; `head_only` is set for an
    /// answer to a `HEAD` request.
    #[must_use]
    pub fn is_bodiless(&self, head_only: bool) -> bool {
        head_only
            || self.status == StatusCode::NO_CONTENT
            || self.status == StatusCode::NOT_MODIFIED
    }

    /// Appends the encoded head to `output`, which the body follows unless
    /// [`Self::is_bodiless`].
    pub fn encode_head(&self, head_only: bool, output: &mut BytesMut) {
        output.extend_from_slice(b"HTTP/1.1 ");
        output.extend_from_slice(self.status.as_str().as_bytes());
        output.extend_from_slice(b" ");
        let reason = self.status.canonical_reason().unwrap_or("Status");
        output.extend_from_slice(reason.as_bytes());
        output.extend_from_slice(b"\r\n");
        request::encode_headers(&self.headers, output);
        if !self.keep_alive {
            output.extend_from_slice(b"connection: close\r\n");
        }
        if !self.is_bodiless(head_only) {
            request::encode_length(self.body.len(), output);
        }
        output.extend_from_slice(b"\r\n");
    }
}
