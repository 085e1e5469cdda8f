//! Time that passed while the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Smaller differences are noise between two readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Measures the time that passed while the VM was suspended. The steady clock
/// does not count it, but a lease goes on meanwhile.
#[derive(Debug)]
pub struct Suspension {
    last_lag: Duration,
}

impl Suspension {
    /// Starts to measure.
    #[must_use]
    pub fn new() -> Self {
        Self { last_lag: lag() }
    }

    /// The time since the last call for which the VM was suspended, if it was.
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

/// By how much the steady clock lags behind the time since boot.
fn lag() -> Duration {
    since_boot(ClockId::Boottime).saturating_sub(since_boot(ClockId::Monotonic))
}

fn since_boot(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}
