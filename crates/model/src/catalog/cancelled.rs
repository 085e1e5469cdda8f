//! Attempts whose claims were settled as not run.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{attempt, map};

/// Attempts that are remembered. Two requests of one attempt reach the log at
/// most some seconds apart, in which a fleet settles fewer claims as not run.
const KEPT: usize = 10_000;

/// Attempts whose claims were settled as not run. A claim of one of them that
/// is committed later, because it was sent twice or was overtaken by its
/// settlement, would run for ever: nobody settles it again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cancelled {
    attempts: map::Set<attempt::Attempt>,
    /// The oldest first.
    order: VecDeque<attempt::Attempt>,
}

impl Cancelled {
    /// Remembers an attempt.
    pub fn add(&mut self, attempt: attempt::Attempt) {
        if !self.attempts.insert(attempt) {
            return;
        }
        self.order.push_back(attempt);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    /// Whether the attempt may no longer claim.
    pub fn has(&self, attempt: attempt::Attempt) -> bool {
        self.attempts.contains(&attempt)
    }
}
