//! Sub-calls that a stand-in makes through its node.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future;
use http::{HeaderMap, Request};
use masticarch_wire::header;
use serde::{Deserialize, Serialize};

use crate::http::connection;

/// Whether sub-calls are made before or after the stand-in's own work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Before its work; the work is skipped if a sub-call fails.
    #[default]
    Before,
    /// After its work.
    After,
}

/// Sub-calls that are made for each request; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Paths to call.
    pub paths: Vec<String>,
    /// Whether the paths are called concurrently; otherwise one after the other up to
    /// the first failure.
    pub parallel: bool,
    /// When the paths are called.
    pub order: Order,
    /// Number of times that the stand-in repeats a failed sub-call, without a backoff,
    /// as a client with aggressive retries does.
    pub resends: u32,
}

/// Makes the sub-calls of one request and returns whether all succeeded. `context`
/// holds the headers of that request.
pub async fn make(plan: &Plan, node: SocketAddr, context: &HeaderMap) -> bool {
    if plan.parallel {
        let calls = plan
            .paths
            .iter()
            .map(|path| call(plan, node, path, context));
        return future::join_all(calls).await.into_iter().all(|done| done);
    }
    for path in &plan.paths {
        if !call(plan, node, path, context).await {
            return false;
        }
    }
    true
}

async fn call(plan: &Plan, node: SocketAddr, path: &str, context: &HeaderMap) -> bool {
    for _attempt in 0..=plan.resends {
        let answer = connection::exchange(node, request(path, context)).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return true;
        }
    }
    false
}

/// Builds a sub-call, which carries the context header of the request that causes
/// it.
fn request(path: &str, context: &HeaderMap) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Some(value) = context.get(header::CONTEXT) {
        request.headers_mut().insert(header::CONTEXT, value.clone());
    }
    let host = http::HeaderValue::from_static("node");
    request.headers_mut().insert(http::header::HOST, host);
    request
}
