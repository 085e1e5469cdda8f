//! Rate limit that a target states in its answers.

use std::time::{Duration, Instant};

use crate::convert;
use crate::share::{self, bucket};

/// Burst of the token bucket, as time at the stated rate.
const BURST: Duration = Duration::from_millis(250);
/// Least rate that is applied. A target that states less still gets a request from time
/// to time, because only its answers show that the limit has ended.
const MIN_RATE_PER_SECOND: f64 = 0.5;

/// Token bucket for the rate limit that a target states, if it states one.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    per_second: Option<f64>,
    /// When an answer last stated the limit.
    stated: Option<Instant>,
    bucket: bucket::Bucket,
}

impl Rate {
    /// The rate limit of a target that has not stated one.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: None,
            stated: None,
            bucket: bucket::Bucket::new(now),
        }
    }

    /// Requests per second; `None` without a limit.
    #[must_use]
    pub const fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Applies the limit that an answer states.
    pub fn record_limit(&mut self, per_second: f64, now: Instant) {
        self.stated = Some(now);
        self.apply(per_second, now);
    }

    /// Takes note of an answer without a limit, to a request that was sent at `sent`. It
    /// ends the limit, unless an answer has stated it since then: answers on different
    /// connections overtake each other.
    pub fn record_no_limit(&mut self, sent: Instant) {
        if self.stated.is_none_or(|stated| stated <= sent) {
            self.per_second = None;
        }
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        self.next().is_none_or(|next| next <= now)
    }

    /// When the next request may be sent; `None` without a limit.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.per_second?;
        if self.bucket.tokens() >= 1.0 {
            return Some(self.bucket.advanced_to());
        }
        self.bucket.next_token()
    }

    /// Records that a request is sent.
    pub fn take(&mut self, now: Instant) {
        if self.per_second.is_some() {
            self.bucket.advance(now);
            self.bucket.take();
        }
    }

    /// Records that a request was not sent after all.
    pub fn put_back(&mut self) {
        if self.per_second.is_some() {
            self.bucket.put_back();
        }
    }

    /// Requests that may be sent in this time, at least 1; `None` without a limit.
    #[must_use]
    pub fn requests_in(&self, time: Duration) -> Option<u32> {
        let requests = self.per_second? * time.as_secs_f64();
        Some(convert::floor_u32(requests.ceil()).max(1))
    }

    /// Starts or resizes the bucket. A new one is empty: what the target got just before
    /// is not known.
    fn apply(&mut self, per_second: f64, now: Instant) {
        if self.per_second == Some(per_second) {
            return;
        }
        if self.per_second.is_none() {
            self.bucket = bucket::Bucket::new(now);
        }
        self.per_second = Some(per_second);
        let rate_per_second = per_second.max(MIN_RATE_PER_SECOND);
        let share = share::Share {
            rate_per_second,
            burst: (rate_per_second * BURST.as_secs_f64()).max(1.0),
        };
        self.bucket.advance(now);
        self.bucket.resize(share, 0.0);
    }
}
