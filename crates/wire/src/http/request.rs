//! HTTP requests with their whole body.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Uri, Version, header};

use super::budget;

/// An HTTP request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query, or an absolute URI as the sender wrote it.
    pub uri: Uri,
    /// Headers. Those of a request to be sent must not have `content-length`, which
    /// [`Self::encode_head`] adds.
    pub headers: HeaderMap,
    /// Whole body, without transfer coding.
    pub body: Bytes,
    /// Memory that is reserved for the body.
    pub reservation: budget::Reservation,
    /// Whether the sender keeps the connection open after the answer.
    pub keep_alive: bool,
}

impl Request {
    /// Makes a request without headers.
    #[must_use]
    pub fn new(method: Method, uri: Uri, body: Bytes) -> Self {
        Self {
            method,
            uri,
            headers: HeaderMap::new(),
            body,
            reservation: budget::Reservation::default(),
            keep_alive: true,
        }
    }

    /// The path and query as sent, `/` when there is none.
    #[must_use]
    pub fn path_and_query(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Appends the encoded head to `output`, which the body follows. A `GET` or `HEAD`
    /// request with an empty body has no length.
    pub fn encode_head(&self, output: &mut BytesMut) {
        output.extend_from_slice(self.method.as_str().as_bytes());
        output.extend_from_slice(b" ");
        output.extend_from_slice(self.path_and_query().as_bytes());
        output.extend_from_slice(b" HTTP/1.1\r\n");
        encode_headers(&self.headers, output);
        let without_length =
            self.body.is_empty() && matches!(self.method, Method::GET | Method::HEAD);
        if !without_length {
            encode_length(self.body.len(), output);
        }
        output.extend_from_slice(b"\r\n");
    }
}

/// Whether the sender of a message keeps the connection open for further messages.
#[must_use]
pub fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let closing = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    version == Version::HTTP_11 && !closing
}

pub(super) fn encode_headers(headers: &HeaderMap, output: &mut BytesMut) {
    for (name, value) in headers {
        output.extend_from_slice(name.as_str().as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value.as_bytes());
        output.extend_from_slice(b"\r\n");
    }
}

pub(super) fn encode_length(length: usize, output: &mut BytesMut) {
    use std::fmt::Write;
    // Writing to a buffer in memory cannot fail.
    let _ = write!(output, "content-length: {length}\r\n");
}
