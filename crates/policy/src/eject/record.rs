//! Failures of one target.

use std::time::{Duration, Instant};

/// Failures in a row that call for ejection.
const CONSECUTIVE: u32 = 5;
/// Fewest recent requests from which the failing part is taken.
const MIN_REQUESTS: f64 = 10.0;
/// Time constant of the counts of recent requests.
const DECAY: Duration = Duration::from_secs(2);
/// First time of ejection; doubles with each one that follows a failure.
const FIRST: Duration = Duration::from_secs(1);
/// Longest time of ejection.
const LONGEST: Duration = Duration::from_secs(30);

/// Failures of one target, as one node saw them.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    consecutive: u32,
    requests: f64,
    failures: f64,
    at: Option<Instant>,
    ejected_until: Option<Instant>,
    next_time: Duration,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            consecutive: 0,
            requests: 0.0,
            failures: 0.0,
            at: None,
            ejected_until: None,
            next_time: FIRST,
        }
    }
}

impl Record {
    /// Counts an answer.
    pub fn succeeded(&mut self, now: Instant) {
        self.decay(now);
        self.requests += 1.0;
        self.consecutive = 0;
        if !self.is_ejected(now) {
            self.next_time = FIRST;
        }
    }

    /// Counts a failure; tells whether the target should be ejected.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.decay(now);
        self.requests += 1.0;
        self.failures += 1.0;
        self.consecutive += 1;
        let mostly = self.requests >= MIN_REQUESTS && self.failures > self.requests / 2.0;
        !self.is_ejected(now) && (self.consecutive >= CONSECUTIVE || mostly)
    }

    /// Ejects the target. It returns by itself; its next failure in a row
    /// ejects it again for twice the time.
    pub fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + self.next_time);
        self.next_time = (self.next_time * 2).min(LONGEST);
        self.consecutive = CONSECUTIVE - 1;
        self.requests = 0.0;
        self.failures = 0.0;
    }

    /// Whether the target is ejected at present.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn decay(&mut self, now: Instant) {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let part = (-age.as_secs_f64() / DECAY.as_secs_f64()).exp();
        self.requests *= part;
        self.failures *= part;
        self.at = Some(now);
    }
}
