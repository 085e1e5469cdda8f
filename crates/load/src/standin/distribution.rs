//! Distributions of service times.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Distribution of a request's service time in milliseconds; fixed at 10 ms by
/// default.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Distribution {
    /// Always this time.
    Fixed(f64),
    /// Uniform between two times.
    Uniform {
        /// Shortest time.
        low: f64,
        /// Longest time.
        high: f64,
    },
    /// Exponential with this mean.
    Exponential(f64),
}

impl Distribution {
    /// Draws a service time; negative ones become zero.
    #[must_use]
    pub fn sample(self, random: &mut fastrand::Rng) -> Duration {
        let milliseconds = match self {
            Self::Fixed(time) => time,
            Self::Uniform { low, high } => low + (high - low) * random.f64(),
            Self::Exponential(mean) => -mean * (1.0 - random.f64()).ln(),
        };
        Duration::from_secs_f64(milliseconds.max(0.0) / 1000.0)
    }
}

impl Default for Distribution {
    fn default() -> Self {
        Self::Fixed(10.0)
    }
}
