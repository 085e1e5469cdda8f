//! Resources of the HTTP port: health, readiness and metrics.

use http::StatusCode;

use crate::services;

/// The status and body of a response.
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

/// Returns the resource at a path.
pub async fn find(services: &services::Services, path: &str) -> Resource {
    match path {
        "/health" => Resource::new(StatusCode::OK, "ok\n"),
        "/ready" => ready(services).await,
        "/metrics" => metrics(services),
        _ => Resource::new(StatusCode::NOT_FOUND, "no such resource\n"),
    }
}

/// The process is ready while it knows a leader of the group.
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
