//! Admission level of a target: the lowest priority that it admits.

use std::time::{Duration, Instant};

/// Level at which every priority is admitted.
pub const ALL: u8 = u8::MAX;
/// Time with short queue times after which the level relaxes by one rank.
pub const RELAX_INTERVAL: Duration = Duration::from_millis(100);
/// Queue times below the bound divided by this count as short.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// The largest rank that a target admits; rank 0 is the highest priority. The level
/// tightens at once when a request is dropped, and relaxes in steps while queue
/// times stay short.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    max_admitted_rank: u8,
    max_offered_rank: u8,
    relaxing_since: Instant,
    short_wait: Duration,
}

impl Level {
    /// A level that admits all, for a queue whose queue time is bounded by
    /// `queue_limit`.
    #[must_use]
    pub fn new(queue_limit: Duration, now: Instant) -> Self {
        Self {
            max_admitted_rank: ALL,
            max_offered_rank: 0,
            relaxing_since: now,
            short_wait: queue_limit / SHORT_WAIT_DIVISOR,
        }
    }

    /// Records that a request was offered to the queue.
    pub fn record_offer(&mut self, rank: u8) {
        self.max_offered_rank = self.max_offered_rank.max(rank);
    }

    /// Records that a request was dropped for lack of capacity, and stops admitting
    /// its rank. Rank 0 always stays admitted: its requests compete in the queue.
    pub fn record_drop(&mut self, rank: u8, now: Instant) {
        self.max_admitted_rank = self.current(now).min(rank.saturating_sub(1));
        self.relaxing_since = now;
    }

    /// Records the queue time of a request that was sent to the target.
    pub fn record_wait(&mut self, waited: Duration, now: Instant) {
        if waited >= self.short_wait {
            self.max_admitted_rank = self.current(now);
            self.relaxing_since = now;
        }
    }

    /// The largest rank that is admitted. It relaxes with time alone, so that a
    /// target without requests also leaves overload.
    #[must_use]
    pub fn current(&self, now: Instant) -> u8 {
        let elapsed = now.saturating_duration_since(self.relaxing_since);
        let steps = elapsed.as_millis() / RELAX_INTERVAL.as_millis();
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        let level = self.max_admitted_rank.saturating_add(steps);
        if level >= self.max_offered_rank {
            ALL
        } else {
            level
        }
    }
}
