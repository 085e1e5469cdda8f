//! Requests as callers send them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use masticarch_load::error;
use masticarch_load::http::connection;
use masticarch_wire::header;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A caller with or without a key.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    key: Option<String>,
}

/// The parts of a refusal that the design fixes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Result code.
    pub code: String,
    /// Reason of the code.
    pub reason: String,
    /// Whether the work ran.
    pub ran: String,
}

impl Caller {
    /// A caller without a key.
    #[must_use]
    pub fn anonymous() -> Self {
        Self::default()
    }

    /// A caller who presents a key.
    #[must_use]
    pub fn with_key(key: &str) -> Self {
        Self {
            key: Some(key.into()),
        }
    }

    /// Sends a request with a body on a connection of its own.
    ///
    /// # Panics
    /// When no whole answer comes in time.
    pub async fn post(&self, node: SocketAddr, path: &str, body: &'static str) -> Response<Bytes> {
        self.send(node, path, body, &[])
            .await
            .expect("the answer is whole")
    }

    /// Sends a request with a body and further headers on a connection of its
    /// own.
    ///
    /// # Errors
    /// Those of [`connection::exchange`] when no whole answer comes.
    ///
    /// # Panics
    /// When the answer does not come in time.
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
        monoio::time::timeout(TIMEOUT, connection::exchange(node, request))
            .await
            .expect("the answer comes in time")
    }
}

/// Reads a refusal from the headers of an answer; missing ones are empty.
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
