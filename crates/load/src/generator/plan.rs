//! What a run of the generator does.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use serde::{Deserialize, Serialize};

use super::team;

/// A span of time with a factor on all rates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length of the span.
    pub duration_ms: u64,
    /// Factor on the rates.
    pub factor: f64,
}

/// What a run of the generator does.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Addresses to which requests are sent.
    pub entries: Vec<SocketAddr>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Spans of time, one after the other.
    pub phases: Vec<Phase>,
    /// The loads.
    pub teams: Vec<team::Team>,
    /// Longest wait for an answer.
    #[serde(default = "default_timeout")]
    #[builder(default = default_timeout())]
    pub timeout_ms: u64,
}

const fn default_timeout() -> u64 {
    5_000
}

impl Plan {
    /// Length of all phases together.
    #[must_use]
    pub fn duration(&self) -> Duration {
        let total = self.phases.iter().map(|phase| phase.duration_ms).sum();
        Duration::from_millis(total)
    }
}
