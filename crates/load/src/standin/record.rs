//! Records of the requests that a stand-in has executed.

use std::collections::BTreeMap;

use http::HeaderMap;
use masticarch_wire::header;
use serde::{Deserialize, Serialize};

use crate::generator::attempt;

/// Prefix of every key in the form in which its holder presents it.
const KEY_PREFIX: &[u8] = b"mk_";

/// Metadata of a request, taken from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Id of the root request of the call tree.
    pub request_id: Option<String>,
    /// Idempotency key that the request carries.
    pub idempotency_key: Option<String>,
    /// Entry address to which the generator sent the request.
    pub entry: Option<String>,
    /// Whether any header contains a key, which no target should receive.
    pub has_key: bool,
}

impl Metadata {
    /// Reads the metadata from the headers of a request.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Self {
            request_id: text(header::REQUEST_ID),
            idempotency_key: text(header::IDEMPOTENCY_KEY),
            entry: text(attempt::ENTRY),
            has_key: has_key(headers),
        }
    }
}

fn has_key(headers: &HeaderMap) -> bool {
    let named = headers.contains_key(header::KEY);
    let inside = |value: &[u8]| {
        value
            .windows(KEY_PREFIX.len())
            .any(|part| part == KEY_PREFIX)
    };
    named || headers.values().any(|value| inside(value.as_bytes()))
}

/// Executions since the start of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Number of executions.
    pub total: u64,
    /// Number of crashes.
    #[serde(default)]
    pub crashes: u64,
    /// Number of executions by root request id.
    pub by_request_id: BTreeMap<String, u64>,
    /// Number of executions by idempotency key.
    pub by_idempotency_key: BTreeMap<String, u64>,
    /// Number of executions by entry address.
    pub by_entry: BTreeMap<String, u64>,
    /// Number of requests with a header that contains a key, whether they ran or not.
    pub keys_seen: u64,
}

impl Executions {
    /// Counts one execution of a request.
    pub fn count(&mut self, metadata: Metadata) {
        self.total += 1;
        if let Some(id) = metadata.request_id {
            *self.by_request_id.entry(id).or_default() += 1;
        }
        if let Some(entry) = metadata.entry {
            *self.by_entry.entry(entry).or_default() += 1;
        }
        if let Some(key) = metadata.idempotency_key {
            *self.by_idempotency_key.entry(key).or_default() += 1;
        }
    }
}
