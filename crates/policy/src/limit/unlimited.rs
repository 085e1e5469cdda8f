//! No concurrency limit.

use std::time::Instant;

use crate::limit::{Limiter, sample};

/// Allows any number of requests in flight; the baseline of experiments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Limiter for Unlimited {
    fn new(_slots: u32, _connections: u32) -> Self {
        Self
    }

    fn current(&self) -> u32 {
        u32::MAX
    }

    fn completed(&mut self, _sample: sample::Sample, _in_flight: u32, _now: Instant) {}

    fn resize(&mut self, _slots: u32, _connections: u32) {}
}
