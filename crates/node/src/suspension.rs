//! Time that passed while the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Smaller differences are noise between two readings.
const LEAST: Duration = Duration::from_millis(20);

/// Measures the time that passed while the VM was suspended. The steady clock
/// does not count it, but a lease goes on meanwhile.
#[derive(Debug)]
pub struct Suspension {
    seen: Duration,
}

impl Suspension {
    /// Starts to measure.
    #[must_use]
    pub fn new() -> Self {
        Self { seen: lag() }
    }

    /// The time since the last call for which the VM was suspended, if it was.
    pub fn take(&mut self) -> Option<Duration> {
        let lag = lag();
        let grown = lag.saturating_sub(self.seen);
        if grown < LEAST {
            return None;
        }
        self.seen = lag;
        Some(grown)
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
