//! Limits the rate of log lines about single requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus::IntCounter;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines in a window. Further ones are counted and not written.
const MAX_LINES: u32 = 20;

/// A fixed-window limiter for the lines of one process; clones share the window.
#[derive(Clone, Debug)]
pub struct Limiter {
    state: Rc<Cell<State>>,
    suppressed: IntCounter,
}

#[derive(Clone, Copy, Debug)]
struct State {
    window_start: Instant,
    written: u32,
}

impl Limiter {
    /// Opens the first window; `suppressed` counts the lines that are not written.
    #[must_use]
    pub fn new(suppressed: IntCounter, now: Instant) -> Self {
        let state = State {
            window_start: now,
            written: 0,
        };
        Self {
            state: Rc::new(Cell::new(state)),
            suppressed,
        }
    }

    /// Whether a line may be written now; counts it as written or as suppressed.
    #[must_use]
    pub fn allow(&self, now: Instant) -> bool {
        let mut state = self.state.get();
        if now.saturating_duration_since(state.window_start) >= WINDOW {
            state = State {
                window_start: now,
                written: 0,
            };
        }
        let allowed = state.written < MAX_LINES;
        if allowed {
            state.written += 1;
        } else {
            self.suppressed.inc();
        }
        self.state.set(state);
        allowed
    }
}
