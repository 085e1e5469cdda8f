//! Latency sample of one request.

use std::time::Duration;

/// Latency of one request, or a lower bound of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The target answered after this time.
    Complete(Duration),
    /// The request was cancelled or failed after this time; its latency would
    /// have been at least that.
    AtLeast(Duration),
}

impl Sample {
    /// Time from the start of the request to its end.
    #[must_use]
    pub const fn observed(self) -> Duration {
        match self {
            Self::Complete(time) | Self::AtLeast(time) => time,
        }
    }
}
