//! Counts the requests in flight, so that a shutdown waits for them.

use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at the count during a shutdown.
const LOOK: Duration = Duration::from_millis(20);

/// Held by every request in flight.
#[derive(Debug)]
pub struct Guard {
    _token: Rc<Token>,
}

/// What guards share; only its count of holders matters.
#[derive(Debug, Default)]
struct Token;

/// Counts the guards that are held. A guard cannot be forgotten by a task that
/// is dropped or panics.
#[derive(Clone, Debug, Default)]
pub struct Activity {
    // Activities share one allocation, so that a clone counts no request.
    holder: Rc<Holder>,
}

#[derive(Debug, Default)]
struct Holder {
    token: Rc<Token>,
}

impl Activity {
    /// Counts one request until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> Guard {
        Guard {
            _token: Rc::clone(&self.holder.token),
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        Rc::strong_count(&self.holder.token) - 1
    }

    /// Waits until no request is in flight.
    pub async fn settle(&self) {
        while self.count() > 0 {
            monoio::time::sleep(LOOK).await;
        }
    }
}
