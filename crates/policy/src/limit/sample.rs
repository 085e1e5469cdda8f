//! What the end of a request tells about latency.

use std::time::Duration;

/// What the end of a request tells about the latency of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The target answered after this time.
    Complete(Duration),
    /// The request was cut short or failed after this time; its true latency
    /// is at least that.
    AtLeast(Duration),
}

impl Sample {
    /// The time that was observed.
    #[must_use]
    pub const fn observed(self) -> Duration {
        match self {
            Self::Complete(time) | Self::AtLeast(time) => time,
        }
    }
}
