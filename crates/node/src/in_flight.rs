//! Counts requests in flight and open connections, so that a shutdown waits for them.

use std::rc::Rc;
use std::time::Duration;

/// Interval at which a shutdown checks the count.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct Guard {
    _token: Rc<Token>,
}

/// Shared by all guards of a counter; its reference count is the number of guards
/// plus one.
#[derive(Debug, Default)]
struct Token;

/// Counts the guards that are held. A task that is dropped or panics drops its
/// guard, so its request is no longer counted.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    // Cloning a counter clones this pointer and not the token, so that it counts
    // no request.
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    token: Rc<Token>,
}

impl Counter {
    /// Counts one request until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> Guard {
        Guard {
            _token: Rc::clone(&self.shared.token),
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        Rc::strong_count(&self.shared.token) - 1
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        while self.count() > 0 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
