//! A token bucket.

use std::time::{Duration, Instant};

use crate::share::Share;

/// Added to a computed wait, so that rounding cannot wake a waiting request before
/// its token is there.
const ROUNDING_MARGIN: Duration = Duration::from_micros(1);
/// Longest computed wait, which applies when the rate is almost 0.
const MAX_WAIT_SECONDS: f64 = 3600.0;

/// A token bucket with the rate and burst of a share; one request takes one token.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    advanced_to: Instant,
}

impl Bucket {
    /// A bucket without a share and tokens.
    pub fn new(now: Instant) -> Self {
        Self {
            share: Share::default(),
            tokens: 0.0,
            advanced_to: now,
        }
    }

    /// The share, which sets rate and capacity.
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Tokens after the last call of [`Self::advance`].
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// The time up to which tokens were added.
    pub const fn advanced_to(&self) -> Instant {
        self.advanced_to
    }

    /// Adds the tokens earned since the last call, up to the burst.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_to);
        let earned = elapsed.as_secs_f64() * self.share.rate_per_second;
        self.tokens = (self.tokens + earned).min(self.share.burst);
        self.advanced_to = self.advanced_to.max(now);
    }

    /// Takes one token; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns a token that was not used, up to the burst.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.share.burst);
    }

    /// Whether there is a share.
    pub fn has_share(&self) -> bool {
        self.share.rate_per_second > 0.0 || self.share.burst > 0.0
    }

    /// Changes the share and adds tokens from the owner's pool; returns the tokens
    /// that exceed the new burst.
    pub fn resize(&mut self, share: Share, tokens: f64) -> f64 {
        let total = self.tokens + tokens.max(0.0);
        self.share = share;
        self.tokens = total.min(share.burst);
        total - self.tokens
    }

    /// Removes the share and all tokens.
    pub fn clear(&mut self) {
        self.share = Share::default();
        self.tokens = 0.0;
    }

    /// Time at which one token is available; `None` when there will be none.
    pub fn next_token(&self) -> Option<Instant> {
        self.nth_token(1.0)
    }

    /// Time by which `count` tokens have been available, if each is taken at once;
    /// `None` when they never will be.
    pub fn nth_token(&self, count: f64) -> Option<Instant> {
        if self.share.rate_per_second <= 0.0 || self.share.burst < 1.0 {
            return None;
        }
        let missing = (count - self.tokens).max(0.0);
        let seconds = (missing / self.share.rate_per_second).min(MAX_WAIT_SECONDS);
        Some(self.advanced_to + Duration::from_secs_f64(seconds) + ROUNDING_MARGIN)
    }
}
