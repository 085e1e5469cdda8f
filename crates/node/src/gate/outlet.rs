//! A service as the entry node knows it.

use std::time::Instant;

use masticarch_policy::retry_budget;
use masticarch_policy::route::pool;
use masticarch_policy::shed::throttle;

use crate::gate::remote;

/// A service as the entry node knows it: its targets, and what they accept.
#[derive(Debug, Default)]
pub struct Outlet {
    /// Targets that take new work according to the directory.
    pub pool: pool::Pool<remote::RemoteKey>,
    /// Retries that this node may send; unbounded when absent.
    pub retry_budget: Option<retry_budget::Budget>,
    /// By rank.
    throttles: Vec<throttle::Throttle>,
}

impl Outlet {
    /// Whether a request of this rank passes early shedding.
    pub fn passes(&mut self, rank: u8, shed: bool, chance: f64, now: Instant) -> bool {
        self.throttle(rank).passes(shed, chance, now)
    }

    /// A target accepted a request of this rank.
    pub fn accepted(&mut self, rank: u8, now: Instant) {
        self.throttle(rank).record_accept(now);
    }

    fn throttle(&mut self, rank: u8) -> &mut throttle::Throttle {
        let index = usize::from(rank);
        if self.throttles.len() <= index {
            let empty = throttle::Throttle::default();
            self.throttles.resize(index + 1, empty);
        }
        &mut self.throttles[index]
    }
}
