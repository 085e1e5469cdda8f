//! Limits of one target: how many requests may be in flight there, and how many may be
//! sent each second.

pub mod adaptive;
pub mod announced;
pub mod rate;
pub mod sample;
pub mod unlimited;
mod window;

use std::time::Instant;

/// Concurrency limit of one target.
pub trait Limiter {
    /// A limiter for a target that announces `slots` and `connections`.
    fn new(slots: u32, connections: u32) -> Self;

    /// Requests that may be in flight at present; at least 1.
    fn current(&self) -> u32;

    /// Records how a request ended. `in_flight` is the number of requests in
    /// flight at that time, including this one.
    fn completed(&mut self, sample: sample::Sample, in_flight: u32, now: Instant);

    /// Applies a change of the announced slots and connections.
    fn resize(&mut self, slots: u32, connections: u32);
}
