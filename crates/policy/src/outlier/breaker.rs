//! Circuit breaker of one target, at the node beside it.
//!
//! It answers a load in which each entry node sends a target so few requests that its own
//! view of them tells nothing: the node beside the target sees them all.

use std::time::{Duration, Instant};

/// Failures in a row after which the breaker opens.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Fewest recent requests for which the failure ratio is considered.
const MIN_RECENT_REQUESTS: f64 = 10.0;
/// Failure ratio of recent requests above which the breaker opens.
const MAX_FAILURE_RATIO: f64 = 0.2;
/// Time constant with which the counts of recent requests decay.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Time for which the breaker opens first. It doubles with each further opening.
const MIN_OPEN_TIME: Duration = Duration::from_secs(1);
/// Longest time for which the breaker opens.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
/// Time without an opening after which the next one is as short as the first.
const RESET_TIME: Duration = Duration::from_secs(10);
/// Probes in a row that must succeed before the breaker closes.
const PROBES_TO_CLOSE: u32 = 3;
/// Time after which a probe that has not ended gives way to another one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most failed calls that are remembered as causes of errors.
const MAX_FAILED_CALLS: f64 = 100.0;

/// How a request at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered without an error of its own.
    Success,
    /// The target broke off, or could not be reached.
    Failure,
    /// The target answered with an error. It is no failure of the target if a call failed
    /// that the target made meanwhile.
    Error,
    /// The end says nothing about the target.
    Neutral,
}

/// What the breaker lets pass.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Every request.
    Closed,
    /// None until this moment.
    Open(Instant),
    /// One request at a time: the last one began at this moment, and so many have
    /// succeeded in a row.
    HalfOpen(Option<Instant>, u32),
}

/// Circuit breaker of one target.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    recent_requests: f64,
    recent_failures: f64,
    /// Failed calls of the target that no error was attributed to yet.
    failed_calls: f64,
    /// Errors that were attributed to no failed call.
    unexplained_errors: f64,
    decayed_at: Instant,
    consecutive_failures: u32,
    next_open_time: Duration,
    opened_until: Option<Instant>,
    in_flight: u32,
    /// Since when requests are in flight and the target has answered none.
    silent_since: Instant,
}

impl Breaker {
    /// A closed breaker.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            state: State::Closed,
            recent_requests: 0.0,
            recent_failures: 0.0,
            failed_calls: 0.0,
            unexplained_errors: 0.0,
            decayed_at: now,
            consecutive_failures: 0,
            next_open_time: MIN_OPEN_TIME,
            opened_until: None,
            in_flight: 0,
            silent_since: now,
        }
    }

    /// Whether a request may be sent. A target that has answered nothing for `patience`
    /// counts as failed.
    pub fn admits(&mut self, patience: Duration, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.silent_since);
        if self.in_flight > 0 && silence >= patience && !self.is_open() {
            self.open(now);
        }
        match self.state {
            State::Closed => true,
            State::Open(until) if now < until => false,
            State::Open(_) => {
                self.state = State::HalfOpen(None, 0);
                true
            }
            State::HalfOpen(probe, _) => {
                probe.is_none_or(|begun| now.saturating_duration_since(begun) >= PROBE_TIMEOUT)
            }
        }
    }

    /// Whether requests are refused, or only sent one at a time.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed)
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        if let State::HalfOpen(probe, _) = &mut self.state {
            *probe = Some(now);
        }
    }

    /// Records that a call of the target has failed elsewhere. The error that it causes may
    /// have been recorded before.
    pub fn record_failed_call(&mut self, now: Instant) {
        self.decay(now);
        if self.unexplained_errors >= 0.5 {
            self.unexplained_errors = (self.unexplained_errors - 1.0).max(0.0);
            self.recent_failures = (self.recent_failures - 1.0).max(0.0);
            self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
        } else {
            self.failed_calls = (self.failed_calls + 1.0).min(MAX_FAILED_CALLS);
        }
    }

    /// Records the end of a request. Returns whether an error was attributed to a failed
    /// call of the target.
    pub fn record_end(&mut self, outcome: Outcome, now: Instant) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.decay(now);
        let is_excused = outcome == Outcome::Error && self.take_failed_call();
        match outcome {
            Outcome::Neutral => self.end_probe(),
            Outcome::Success => self.record_success(now),
            Outcome::Error if is_excused => {
                self.silent_since = now;
                self.end_probe();
            }
            Outcome::Error => {
                self.unexplained_errors += 1.0;
                self.record_failure(now);
            }
            Outcome::Failure => self.record_failure(now),
        }
        is_excused
    }

    fn record_success(&mut self, now: Instant) {
        self.silent_since = now;
        self.recent_requests += 1.0;
        self.consecutive_failures = 0;
        if let State::HalfOpen(_, succeeded) = self.state {
            self.state = if succeeded + 1 >= PROBES_TO_CLOSE {
                State::Closed
            } else {
                State::HalfOpen(None, succeeded + 1)
            };
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.silent_since = now;
        self.recent_requests += 1.0;
        self.recent_failures += 1.0;
        self.consecutive_failures += 1;
        let many_failed = self.recent_requests >= MIN_RECENT_REQUESTS
            && self.recent_failures > MAX_FAILURE_RATIO * self.recent_requests;
        let should_open = match self.state {
            State::Closed => many_failed || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES,
            State::Open(_) => false,
            State::HalfOpen(..) => true,
        };
        if should_open {
            self.open(now);
        }
    }

    fn open(&mut self, now: Instant) {
        let was_long_ago = |until: Instant| now.saturating_duration_since(until) >= RESET_TIME;
        if self.opened_until.is_none_or(was_long_ago) {
            self.next_open_time = MIN_OPEN_TIME;
        }
        let until = now + self.next_open_time;
        self.state = State::Open(until);
        self.opened_until = Some(until);
        self.next_open_time = (self.next_open_time * 2).min(MAX_OPEN_TIME);
        self.recent_requests = 0.0;
        self.recent_failures = 0.0;
        self.unexplained_errors = 0.0;
        self.consecutive_failures = 0;
    }

    fn end_probe(&mut self) {
        if let State::HalfOpen(probe, _) = &mut self.state {
            *probe = None;
        }
    }

    fn take_failed_call(&mut self) -> bool {
        let known = self.failed_calls >= 0.5;
        if known {
            self.failed_calls = (self.failed_calls - 1.0).max(0.0);
        }
        known
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.recent_requests *= factor;
        self.recent_failures *= factor;
        self.failed_calls *= factor;
        self.unexplained_errors *= factor;
        self.decayed_at = now;
    }
}
