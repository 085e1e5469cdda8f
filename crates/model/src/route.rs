//! Routes from hosts and paths to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{access, destination, name};

/// Maps a path prefix, of one host or of all, to services, with the rules for its
/// requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: name::Name,
    /// Host that matches, without a port; any host when absent.
    #[serde(default)]
    pub host: Option<Box<str>>,
    /// Path prefix; the longest match on whole segments wins. One that ends
    /// with a slash matches only what lies below it.
    pub path: Box<str>,
    /// Service whose targets serve the route; not used when `split` has entries.
    pub service: name::Name,
    /// Services among which the traffic is split.
    #[serde(default)]
    pub split: Vec<destination::Destination>,
    /// Priority of its requests; a caller may ask for a lower one.
    pub priority: name::Name,
    /// Callers that may use the route.
    pub access: access::Access,
    /// Whether a request may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest time for a request, 10 to 600,000 ms.
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Retry credit of a request, shared by all calls that it causes, 0 to 10.
    #[serde(default = "default_retries")]
    pub retries: u8,
    /// Most targets to which one request is sent, 1 to 11; when absent, only the
    /// retry credit bounds them.
    #[serde(default)]
    pub attempts: Option<u8>,
    /// Latency up to which an answer has its full value.
    #[serde(rename = "latency_target_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub latency_target: Option<Duration>,
}

const fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

const fn default_retries() -> u8 {
    3
}

impl Route {
    /// The path prefix as [`crate::directory::Directory`] stores it: empty for the
    /// root path `/`, otherwise the path itself.
    #[must_use]
    pub fn prefix(&self) -> &str {
        if &*self.path == "/" { "" } else { &self.path }
    }
}
