//! The load of one team on one path.

use bon::Builder;
use serde::{Deserialize, Serialize};

/// How the client of a team resends requests that were not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resend {
    /// Resends after the first attempt.
    pub attempts: u32,
    /// Time before each resend.
    pub backoff_ms: u64,
    /// Whether each resend goes to the next entry address.
    pub elsewhere: bool,
}

/// The load of one team on one path.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name in the report.
    #[builder(into)]
    pub name: String,
    /// Key that is presented.
    #[serde(default)]
    pub key: Option<String>,
    /// Path that is requested.
    #[builder(into)]
    pub path: String,
    /// Requests per second, before the factor of the phase.
    pub rate: f64,
    /// Factors on the rate by phase, in place of those of the plan.
    #[serde(default)]
    #[builder(default)]
    pub factors: Vec<f64>,
    /// Priority that is asked for.
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
    /// Remaining time that is stated.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Bytes of the body.
    #[serde(default)]
    #[builder(default)]
    pub body_bytes: usize,
    /// Indices of the entry addresses that are used in turn; all when empty.
    #[serde(default)]
    #[builder(default)]
    pub entries: Vec<usize>,
    /// Resends by the client.
    #[serde(default)]
    #[builder(default)]
    pub resend: Resend,
}
