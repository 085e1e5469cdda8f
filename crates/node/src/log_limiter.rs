//! Bound on the lines that decisions write to the log.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus::IntCounter;

/// Period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines in a period. Decisions beyond are counted only.
const MAX_LINES: u32 = 20;

/// Counts the lines of one process; cheap to clone.
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
    /// Starts to count; decisions without a line go to `suppressed`.
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

    /// Whether a decision may write a line now.
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
