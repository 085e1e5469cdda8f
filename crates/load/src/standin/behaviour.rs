//! Behaviour of a stand-in, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// Behaviour of a stand-in; the default is a healthy one at full speed.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent field of the YAML form"
)]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Factor on the service time.
    pub slow_down: f64,
    /// Share of requests, from 0 to 1, that run and are then answered with 500.
    pub failure_share: f64,
    /// Whether its announcements say that it is draining.
    pub draining: bool,
    /// Whether it announces itself.
    pub announcing: bool,
    /// Whether `GET /health` answers with 200 rather than 503, independently of the
    /// actual state.
    pub healthy: bool,
    /// Number of requests in flight that `GET /load` reports in place of the actual
    /// one.
    pub claimed_load: Option<usize>,
    /// Rate limit that its answers state, in requests per second.
    pub rate_limit: Option<f64>,
    /// Whether its answers state that it is leaving.
    pub leaving: bool,
    /// Number of the run that it announces.
    pub run: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slow_down: 1.0,
            failure_share: 0.0,
            draining: false,
            announcing: true,
            healthy: true,
            claimed_load: None,
            rate_limit: None,
            leaving: false,
            run: 0,
        }
    }
}

/// A change of the behaviour; fields that are absent keep their value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// New value of [`Behaviour::slow_down`].
    pub slow_down: Option<f64>,
    /// New value of [`Behaviour::failure_share`].
    pub failure_share: Option<f64>,
    /// New value of [`Behaviour::draining`].
    pub draining: Option<bool>,
    /// New value of [`Behaviour::announcing`].
    pub announcing: Option<bool>,
    /// New value of [`Behaviour::healthy`].
    pub healthy: Option<bool>,
    /// New value of [`Behaviour::claimed_load`].
    pub claimed_load: Option<usize>,
    /// New value of [`Behaviour::rate_limit`]; infinite for none.
    pub rate_limit: Option<f64>,
    /// New value of [`Behaviour::leaving`].
    pub leaving: Option<bool>,
    /// New value of [`Behaviour::run`]; a higher one announces another run.
    pub run: Option<u64>,
}

impl Behaviour {
    /// Returns this behaviour with the change applied.
    #[must_use]
    pub fn with(self, change: Change) -> Self {
        Self {
            slow_down: change.slow_down.unwrap_or(self.slow_down),
            failure_share: change.failure_share.unwrap_or(self.failure_share),
            draining: change.draining.unwrap_or(self.draining),
            announcing: change.announcing.unwrap_or(self.announcing),
            healthy: change.healthy.unwrap_or(self.healthy),
            claimed_load: change.claimed_load.or(self.claimed_load),
            rate_limit: match change.rate_limit {
                Some(rate) => Some(rate).filter(|rate| rate.is_finite()),
                None => self.rate_limit,
            },
            leaving: change.leaving.unwrap_or(self.leaving),
            run: change.run.unwrap_or(self.run),
        }
    }
}
