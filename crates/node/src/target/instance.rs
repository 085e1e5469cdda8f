//! Instances of a target, as they are announced.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// Difference between the clocks of a target and its node from which on an announcement is
/// refused.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_hours(24);

/// One run of a target process, and the sequence number of this announcement of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Id of the run, chosen by the target.
    pub id: Box<str>,
    /// Start of the run, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Sequence number of the announcement; grows within a run.
    pub sequence: u64,
}

impl Instance {
    /// Text that identifies the run. An instance that starts again may keep its id.
    #[must_use]
    pub fn run(&self) -> Box<str> {
        format!("{}-{}", self.started_ms, self.id).into()
    }

    /// Whether the run can have started by `now`, if the clocks of target and node differ by
    /// less than a day. Any later start would make all announcements of
    /// other runs outdated.
    #[must_use]
    pub fn may_have_started(&self, now: SystemTime) -> bool {
        let started = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(self.started_ms));
        let latest = now.checked_add(MAX_CLOCK_DIFFERENCE);
        started.is_some_and(|started| latest.is_none_or(|latest| started < latest))
    }

    /// Whether both announcements are of the same run.
    #[must_use]
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }

    /// Whether this announcement was made before the other one.
    #[must_use]
    pub const fn is_before(&self, other: &Self) -> bool {
        self.started_ms < other.started_ms
            || self.started_ms == other.started_ms && self.sequence < other.sequence
    }
}
