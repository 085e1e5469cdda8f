//! Reads resources from the admin ports of processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;

use crate::error;
use crate::http::connection;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Reads a resource as text.
///
/// # Errors
/// [`error::Error::Timeout`] when no answer comes in time, [`error::Error::Refused`]
/// with the body when the status is not a success, and any error of the exchange.
pub async fn get(admin: SocketAddr, path: &str) -> Result<String, error::Error> {
    let request = Request::get(path)
        .header(http::header::HOST, "masticarch")
        .body(Bytes::new())
        .map_err(|failure| error::Error::Parse(failure.to_string()))?;
    let answer = monoio::time::timeout(TIMEOUT, connection::exchange(admin, request))
        .await
        .map_err(|_| error::Error::Timeout(format!("{admin}{path}")))??;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    if answer.status().is_success() {
        Ok(text)
    } else {
        Err(error::Error::Refused(text))
    }
}
