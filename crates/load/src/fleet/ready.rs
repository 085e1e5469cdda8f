//! Readiness of processes, as their admin ports tell it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;

use crate::error;
use crate::http::connection;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until the process behind an admin port is ready.
///
/// # Errors
/// [`error::Error::Timeout`] when it is not ready after the limit.
pub async fn wait(admin: SocketAddr, limit: Duration) -> Result<(), error::Error> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_ready(admin).await {
            return Ok(());
        }
        monoio::time::sleep(INTERVAL).await;
    }
    Err(error::Error::Timeout(format!("{admin} to be ready")))
}

async fn is_ready(admin: SocketAddr) -> bool {
    let request = Request::get("/ready")
        .header(http::header::HOST, "masticarch")
        .body(Bytes::new());
    let Ok(request) = request else {
        return false;
    };
    let answer = monoio::time::timeout(TIMEOUT, connection::once(admin, request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status().is_success())
}
