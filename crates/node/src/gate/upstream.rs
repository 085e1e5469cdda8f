//! A service as an upstream: its targets and how much they accept.

use std::time::{Duration, Instant};

use masticarch_model::name;
use masticarch_policy::estimate::table;
use masticarch_policy::retry_budget;
use masticarch_policy::route::pool;
use masticarch_policy::shed::throttle;

use crate::gate::endpoint;

/// A service as the entry node knows it.
#[derive(Debug, Default)]
pub struct Upstream {
    /// Targets that take new requests according to the directory.
    pub pool: pool::Pool<endpoint::EndpointKey>,
    /// Bound on the retries that this node sends to the service; no bound when absent.
    pub retry_budget: Option<retry_budget::Budget>,
    /// Early shedding, indexed by rank.
    throttles: Vec<throttle::Throttle>,
    /// Latencies by route, over all targets.
    latencies: table::Table<name::Name>,
}

impl Upstream {
    /// Whether a request of this rank passes early shedding. `shed` says that every
    /// usable target sheds the rank; `chance` is a random number from 0 to 1.
    pub fn passes(&mut self, rank: u8, shed: bool, chance: f64, now: Instant) -> bool {
        self.throttle(rank).passes(shed, chance, now)
    }

    /// Mean latency of requests on `route`; zero before the first.
    pub fn expected_latency(&self, route: &name::Name) -> Duration {
        self.latencies.service_time(route).unwrap_or_default()
    }

    /// Records the latency of a request on `route`.
    pub fn record_latency(&mut self, route: &name::Name, latency: Duration, now: Instant) {
        self.latencies.add(route, latency, now);
    }

    /// Records that a target accepted a request of this rank.
    pub fn record_accepted(&mut self, rank: u8, now: Instant) {
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
