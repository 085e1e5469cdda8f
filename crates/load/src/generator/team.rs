//! Load of one team on one path.

use bon::Builder;
use serde::{Deserialize, Serialize};

/// How the client of a team retries requests that were not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resend {
    /// Maximum number of resends after the first attempt.
    pub attempts: u32,
    /// Time between the end of an attempt and its resend; it does not grow.
    pub backoff_ms: u64,
    /// Whether each resend goes to the next entry address.
    pub elsewhere: bool,
}

/// Load of one team on one path.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team in the report.
    #[builder(into)]
    pub name: String,
    /// Key that requests present; without one they carry none.
    #[serde(default)]
    pub key: Option<String>,
    /// Path of the requests, which are sent with POST.
    #[builder(into)]
    pub path: String,
    /// Requests per second, multiplied by the factor of the phase.
    pub rate: f64,
    /// Factors on the rate by phase; each replaces the factor of the plan's phase
    /// with the same index.
    #[serde(default)]
    #[builder(default)]
    pub factors: Vec<f64>,
    /// Priority that requests ask for.
    #[serde(default)]
    pub priority: Option<String>,
    /// Whether each request carries a request id.
    #[serde(default)]
    #[builder(default)]
    pub request_id: bool,
    /// Whether each request carries an idempotency key.
    #[serde(default)]
    #[builder(default)]
    pub idempotency_key: bool,
    /// Time until the deadline that requests state.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Minimum size of the body; the body holds at least the request id.
    #[serde(default)]
    #[builder(default)]
    pub body_bytes: usize,
    /// Whether all requests have the same body, so that they are copies of one request.
    #[serde(default)]
    #[builder(default)]
    pub copies: bool,
    /// Indices of the plan's entry addresses that are used in turn (round robin);
    /// all when empty.
    #[serde(default)]
    #[builder(default)]
    pub entries: Vec<usize>,
    /// How unserved requests are resent; not at all by default.
    #[serde(default)]
    #[builder(default)]
    pub resend: Resend,
}
