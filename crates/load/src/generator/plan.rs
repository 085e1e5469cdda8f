//! Plan of a run of the generator, as its YAML file states it.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use serde::{Deserialize, Serialize};

use super::team;

/// A time span with a factor on the rates of all teams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration of the phase.
    pub duration_ms: u64,
    /// Factor on the rate of each team without factors of its own.
    pub factor: f64,
}

/// Load of all teams over all phases.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Entry addresses: those to which requests are sent.
    pub entries: Vec<SocketAddr>,
    /// Seed of the arrivals of the first team; each further team uses the next
    /// number. It is also the first part of every request id.
    pub seed: u64,
    /// Phases of the run, one after the other.
    pub phases: Vec<Phase>,
    /// Loads of the teams; records and reports identify a team by its index here.
    pub teams: Vec<team::Team>,
    /// Timeout of an attempt, including the time to connect.
    #[serde(default = "default_timeout")]
    #[builder(default = default_timeout())]
    pub timeout_ms: u64,
}

const fn default_timeout() -> u64 {
    5_000
}

impl Plan {
    /// Total duration of all phases.
    #[must_use]
    pub fn duration(&self) -> Duration {
        let total = self.phases.iter().map(|phase| phase.duration_ms).sum();
        Duration::from_millis(total)
    }
}
