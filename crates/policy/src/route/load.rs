//! What a node knows of the load of a target.

use std::time::Duration;

use crate::route::locality;

/// Added to the cost of a target that sheds the request's priority: its queue
/// is full, and the default bound of the queue is this long.
const SHEDDING_PENALTY: Duration = Duration::from_millis(100);

/// What a node knows of the load of a target.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Distance to the target.
    pub locality: locality::Locality,
    /// Requests in flight.
    pub in_flight: u32,
    /// Latest known admission limit.
    pub limit: u32,
    /// Mean latency.
    pub latency: Duration,
    /// Whether it sheds the request's priority.
    pub shedding: bool,
}

/// Part of the limit from which on requests may have to queue.
const BUSY_RATIO: f64 = 0.8;

impl Load {
    /// Whether a further request may have to queue.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let full = f64::from(self.in_flight) >= BUSY_RATIO * f64::from(self.limit);
        full || self.shedding
    }

    /// Network latency and estimated wait together.
    #[must_use]
    pub fn cost(&self) -> Duration {
        let wait = self.latency.saturating_mul(self.in_flight) / self.limit.max(1);
        let penalty = if self.shedding {
            SHEDDING_PENALTY
        } else {
            Duration::ZERO
        };
        self.locality.latency() + wait + penalty
    }
}
