//! What a target states about itself in its answers.

use std::str::FromStr;

/// What a target states about itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Requests per second that the target takes from the whole fleet.
    pub rate_limit: RateLimit,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// Statement of a target about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// No limit is stated.
    #[default]
    Absent,
    /// Requests per second, finite and not negative.
    PerSecond(f64),
    /// A limit is stated, but cannot be read.
    Unreadable,
}

impl RateLimit {
    /// Reads the value of a header; `None` when the header is absent.
    #[must_use]
    pub fn read(value: Option<&str>) -> Self {
        let Some(text) = value else {
            return Self::Absent;
        };
        f64::from_str(text.trim())
            .ok()
            .filter(|rate| rate.is_finite() && *rate >= 0.0)
            .map_or(Self::Unreadable, Self::PerSecond)
    }
}
