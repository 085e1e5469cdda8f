//! Limits on the number of requests that run at a target at once.

pub mod adaptive;
pub mod announced;
pub mod sample;
pub mod unlimited;
mod window;

use std::time::Instant;

/// Decides how many requests may run at a target at once.
pub trait Limiter {
    /// A limiter for a target that announces this many slots and connections.
    fn new(slots: u32, connections: u32) -> Self;

    /// Requests that may run at once.
    fn current(&self) -> u32;

    /// Learns how a request ended, and how many ran when it did, itself
    /// included.
    fn completed(&mut self, sample: sample::Sample, in_flight: u32, now: Instant);

    /// The target announces other numbers.
    fn resize(&mut self, slots: u32, connections: u32);
}
