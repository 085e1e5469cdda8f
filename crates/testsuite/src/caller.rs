//! A caller, which sends requests to nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use masticarch_load::error;
use masticarch_load::http::connection;
use masticarch_wire::header;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller that sends each request on a new connection, with or without a key.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    key: Option<String>,
}

/// The parts of a refusal that belong to the interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Result code.
    pub code: String,
    /// Name of the result code.
    pub reason: String,
    /// Whether the request ran: `yes`, `no` or `unknown`.
    pub ran: String,
}

impl Caller {
    /// A caller without a key.
    #[must_use]
    pub fn anonymous() -> Self {
        Self::default()
    }

    /// A caller that presents a key.
    #[must_use]
    pub fn with_key(key: &str) -> Self {
        Self {
            key: Some(key.into()),
        }
    }

    /// Sends a request with a body.
    ///
    /// # Panics
    /// When no complete answer arrives in time.
    pub async fn post(&self, node: SocketAddr, path: &str, body: &'static str) -> Response<Bytes> {
        self.send(node, path, body, &[])
            .await
            .expect("the answer is complete")
    }

    /// Sends a request with a body and further headers.
    ///
    /// # Errors
    /// Those of [`connection::exchange`] when no complete answer arrives.
    ///
    /// # Panics
    /// When the answer does not arrive in time.
    pub async fn send(
        &self,
        node: SocketAddr,
        path: &str,
        body: &'static str,
        headers: &[(&str, &str)],
    ) -> Result<Response<Bytes>, error::Error> {
        let mut request = Request::post(path).header(http::header::HOST, "masticarch");
        if let Some(key) = &self.key {
            request = request.header(header::KEY, key);
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Bytes::from_static(body.as_bytes()))
            .expect("path and headers are valid");
        monoio::time::timeout(ANSWER_TIMEOUT, connection::exchange(node, request))
            .await
            .expect("the answer arrives in time")
    }
}

/// Reads a refusal from the status and headers of an answer. A missing header gives
/// an empty field.
#[must_use]
pub fn refusal(answer: &Response<Bytes>) -> Refusal {
    let text = |name: &str| {
        let value = answer.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    Refusal {
        status: answer.status().as_u16(),
        code: text(header::CODE),
        reason: text(header::REASON),
        ran: text(header::RAN),
    }
}
