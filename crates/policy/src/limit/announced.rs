//! A concurrency limit that the target sets itself.

use std::time::Instant;

use crate::limit::{Limiter, sample};

/// Allows as many requests in flight as the target announces slots.
#[derive(Clone, Copy, Debug)]
pub struct Announced {
    slots: u32,
}

impl Limiter for Announced {
    fn new(slots: u32, connections: u32) -> Self {
        let slots = slots.min(connections).max(1);
        Self { slots }
    }

    fn current(&self) -> u32 {
        self.slots
    }

    fn completed(&mut self, _: sample::Sample, _: u32, _: Instant) {}

    fn resize(&mut self, slots: u32, connections: u32) {
        *self = Self::new(slots, connections);
    }
}
