//! The lowest priority that a target admits at present.

use std::time::{Duration, Instant};

/// The level of a target that admits every priority.
pub const ALL: u8 = u8::MAX;
/// Time of short queues before the level relaxes by one rank.
pub const RELAX_INTERVAL: Duration = Duration::from_millis(100);
/// Queue times below this part of the bound count as short.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// The lowest rank that a target admits: tightens at once when a request is
/// dropped, and relaxes in steps while queue times stay short.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    admitted: u8,
    lowest_offered: u8,
    relaxing_since: Instant,
    short_wait: Duration,
}

impl Level {
    /// A level that admits all, for a queue with this bound on time.
    #[must_use]
    pub fn new(queue_limit: Duration, now: Instant) -> Self {
        Self {
            admitted: ALL,
            lowest_offered: 0,
            relaxing_since: now,
            short_wait: queue_limit / SHORT_WAIT_DIVISOR,
        }
    }

    /// A request of this rank was offered.
    pub fn record_offer(&mut self, rank: u8) {
        self.lowest_offered = self.lowest_offered.max(rank);
    }

    /// A request of this rank was dropped for lack of capacity. Rank 0 always
    /// stays admitted: its requests compete in the queue.
    pub fn record_drop(&mut self, rank: u8, now: Instant) {
        self.admitted = self.current(now).min(rank.saturating_sub(1));
        self.relaxing_since = now;
    }

    /// A request left the queue for the target after this time.
    pub fn record_wait(&mut self, waited: Duration, now: Instant) {
        if waited >= self.short_wait {
            self.admitted = self.current(now);
            self.relaxing_since = now;
        }
    }

    /// The lowest rank that is admitted. It relaxes with time alone, so that a
    /// target that receives nothing leaves overload as well.
    #[must_use]
    pub fn current(&self, now: Instant) -> u8 {
        let elapsed = now.saturating_duration_since(self.relaxing_since);
        let steps = elapsed.as_millis() / RELAX_INTERVAL.as_millis();
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        let level = self.admitted.saturating_add(steps);
        if level >= self.lowest_offered {
            ALL
        } else {
            level
        }
    }
}
