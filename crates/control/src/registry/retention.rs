//! Retention of settled claims.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use masticarch_model::version;

/// Time for which settled claims are kept (section 3.4 of the design page).
pub const RETENTION: Duration = Duration::from_mins(10);

/// A version that the catalog had reached at a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    time: Instant,
    version: version::Version,
}

/// Versions of the catalog by the leader's clock. A new leader starts over, so that
/// a change of leader may keep claims for longer, but never for less time.
#[derive(Clone, Debug, Default)]
pub struct Retention {
    samples: VecDeque<Sample>,
}

impl Retention {
    /// Removes all samples, as after a change of leader.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Adds a sample and returns the version up to which settled claims may be
    /// forgotten; zero if there is none.
    #[must_use]
    pub fn sample(&mut self, time: Instant, version: version::Version) -> version::Version {
        self.samples.push_back(Sample { time, version });
        let expired = |sample: &Sample| time.saturating_duration_since(sample.time) >= RETENTION;
        while self.samples.len() > 1 && self.samples.get(1).is_some_and(expired) {
            self.samples.pop_front();
        }
        let oldest = self.samples.front().copied();
        oldest
            .filter(expired)
            .map_or_else(version::Version::default, |sample| sample.version)
    }
}
