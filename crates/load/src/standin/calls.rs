//! Sub-calls of a stand-in through its node.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future;
use http::{HeaderMap, Request};
use masticarch_wire::header;
use serde::{Deserialize, Serialize};

use crate::http::connection;

/// When sub-calls are made, relative to the stand-in's own work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Before its own work.
    #[default]
    Before,
    /// After its own work.
    After,
}

/// Which sub-calls are made for each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Paths that are called.
    pub paths: Vec<String>,
    /// Whether they are called at the same time.
    pub parallel: bool,
    /// When they are called.
    pub order: Order,
    /// Further attempts of a failed sub-call by the stand-in itself, as
    /// aggressive clients make them.
    pub resends: u32,
}

/// Makes the sub-calls of one request; tells whether all succeeded.
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

/// The request of a sub-call; it carries the handle of the running call.
fn request(path: &str, context: &HeaderMap) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Some(handle) = context.get(header::CONTEXT) {
        request
            .headers_mut()
            .insert(header::CONTEXT, handle.clone());
    }
    let host = http::HeaderValue::from_static("node");
    request.headers_mut().insert(http::header::HOST, host);
    request
}
