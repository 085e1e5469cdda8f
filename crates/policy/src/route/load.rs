//! Load of a target as a node knows it.

use std::time::Duration;

use crate::route::locality;

/// Added to the cost of a target that sheds the request's priority. Its queue is
/// full, and this is the default bound on queue time.
const SHEDDING_PENALTY: Duration = Duration::from_millis(100);

/// Load of a target as a node knows it, for a request of a given priority.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Distance from the node to the target.
    pub locality: locality::Locality,
    /// Requests in flight at the target, as far as the node knows.
    pub in_flight: u32,
    /// Latest known concurrency limit of the target.
    pub limit: u32,
    /// Expected latency of the request once it runs.
    pub latency: Duration,
    /// Whether the target sheds the request's priority.
    pub shedding: bool,
}

/// Fraction of the limit in flight from which requests may have to queue.
const BUSY_RATIO: f64 = 0.8;

impl Load {
    /// Whether another request may have to queue.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let full = f64::from(self.in_flight) >= BUSY_RATIO * f64::from(self.limit);
        full || self.shedding
    }

    /// Network latency plus expected latency and wait, plus a penalty if the target sheds.
    #[must_use]
    pub fn cost(&self) -> Duration {
        let wait = self.latency.saturating_mul(self.in_flight) / self.limit.max(1);
        let penalty = if self.shedding {
            SHEDDING_PENALTY
        } else {
            Duration::ZERO
        };
        self.locality.latency() + self.latency + wait + penalty
    }
}
