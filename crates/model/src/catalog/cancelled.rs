//! Attempts that may not claim any more.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{attempt, map};

/// Most attempts that are kept; the oldest are dropped. Two commands of one attempt
/// reach the log at most some seconds apart, and in that time a fleet settles fewer
/// claims than this as not run.
const MAX_ATTEMPTS: usize = 10_000;

/// Attempts whose claims were settled as not run. A claim command of such an
/// attempt may still be committed, because it was sent twice or because its
/// settlement was committed first. It must be refused: nobody would settle that
/// claim, and it would stay running for ever.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cancelled {
    attempts: map::Set<attempt::Attempt>,
    /// The same attempts, oldest first.
    order: VecDeque<attempt::Attempt>,
}

impl Cancelled {
    /// Adds an attempt, and drops the oldest above [`MAX_ATTEMPTS`].
    pub fn add(&mut self, attempt: attempt::Attempt) {
        if !self.attempts.insert(attempt) {
            return;
        }
        self.order.push_back(attempt);
        if self.order.len() > MAX_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }

    /// Whether claims of the attempt are to be refused.
    pub fn contains(&self, attempt: attempt::Attempt) -> bool {
        self.attempts.contains(&attempt)
    }
}
