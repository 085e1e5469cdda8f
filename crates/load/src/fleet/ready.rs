//! Readiness of processes, as their admin ports report it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::admin;
use crate::error;

/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the process behind an admin port is ready.
///
/// # Errors
/// [`error::Error::Timeout`] when it is not ready after the timeout.
pub async fn wait(admin: SocketAddr, timeout: Duration) -> Result<(), error::Error> {
    let started = Instant::now();
    while started.elapsed() < timeout {
        if is_ready(admin).await {
            return Ok(());
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Err(error::Error::Timeout(format!("{admin} to be ready")))
}

/// Whether the process behind an admin port reports that it is ready.
pub async fn is_ready(admin: SocketAddr) -> bool {
    admin::get(admin, "/ready").await.is_ok()
}
