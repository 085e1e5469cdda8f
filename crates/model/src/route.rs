//! Routes from paths to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{access, name};

/// Maps a path prefix to a service, with the rules for its requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: name::Name,
    /// Path prefix; the longest match on whole segments wins.
    pub path: Box<str>,
    /// Service whose targets serve the route.
    pub service: name::Name,
    /// Priority of its requests; callers may lower it.
    pub priority: name::Name,
    /// Who may use the route.
    pub access: access::Access,
    /// Whether a request may run more than once without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest time for a request, 10 to 600,000 ms.
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Retry credit of a request's whole call tree, 0 to 10.
    #[serde(default = "default_retries")]
    pub retries: u8,
}

const fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

const fn default_retries() -> u8 {
    3
}
