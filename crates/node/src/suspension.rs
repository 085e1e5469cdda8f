//! Detects that the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Shortest suspension that is reported. The two clocks are read one after the
/// other, and smaller differences are noise.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Measures the time for which the VM was suspended. The monotonic clock does not
/// count it, but a lease expires meanwhile.
#[derive(Debug)]
pub struct Suspension {
    last_lag: Duration,
}

impl Suspension {
    /// Measures from now on.
    #[must_use]
    pub fn new() -> Self {
        Self { last_lag: lag() }
    }

    /// How long the VM was suspended since the last call; `None` when it was not.
    pub fn take(&mut self) -> Option<Duration> {
        let lag = lag();
        let suspended = lag.saturating_sub(self.last_lag);
        if suspended < MIN_SUSPENSION {
            return None;
        }
        self.last_lag = lag;
        Some(suspended)
    }
}

impl Default for Suspension {
    fn default() -> Self {
        Self::new()
    }
}

/// How far the monotonic clock lags behind the boot-time clock, which counts
/// suspensions.
fn lag() -> Duration {
    since_boot(ClockId::Boottime).saturating_sub(since_boot(ClockId::Monotonic))
}

fn since_boot(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}
