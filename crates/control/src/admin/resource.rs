//! What the HTTP port serves.

use http::StatusCode;

use crate::services;

/// A resource with its status and text.
#[derive(Debug, PartialEq, Eq)]
pub struct Resource {
    /// HTTP status.
    pub status: StatusCode,
    /// Body as plain text.
    pub text: String,
}

impl Resource {
    fn new(status: StatusCode, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { status, text }
    }
}

/// Finds what a path names.
pub async fn find(services: &services::Services, path: &str) -> Resource {
    match path {
        "/health" => Resource::new(StatusCode::OK, "ok\n"),
        "/ready" => ready(services).await,
        "/metrics" => metrics(services),
        _ => Resource::new(StatusCode::NOT_FOUND, "no such resource\n"),
    }
}

/// Ready once a leader is known.
async fn ready(services: &services::Services) -> Resource {
    if services.log.leader().await.is_some() {
        Resource::new(StatusCode::OK, "ready\n")
    } else {
        Resource::new(StatusCode::SERVICE_UNAVAILABLE, "no leader is known\n")
    }
}

fn metrics(services: &services::Services) -> Resource {
    services.metrics.expose().map_or_else(
        |error| Resource::new(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        |text| Resource::new(StatusCode::OK, text),
    )
}
