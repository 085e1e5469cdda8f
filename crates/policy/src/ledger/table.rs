//! Table of request ids and the retry credit left to each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use masticarch_model::{attempt, map};

use crate::credit::{allowance, outcome};
use crate::ledger::{entry, refusal};

/// Time for which an id is kept after its latest attempt has ended.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of ids. One takes about 200 B, so that the table stays within
/// 20 MB.
const MAX_ENTRIES: usize = 100_000;

/// Recent request ids with their latest attempt and the retry credit left to them.
#[derive(Debug, Default)]
pub struct Table {
    entries: map::Map<Box<str>, entry::Entry>,
    expiries: BinaryHeap<Reverse<(Instant, Box<str>)>>,
}

impl Table {
    /// Begins an attempt. The first attempt of an id gets the route's credit; a
    /// resend gets the credit that is left, with the repeat mark unless nothing
    /// ran before. Beginning the same attempt again returns the same result.
    ///
    /// # Errors
    /// [`refusal::Refusal`] when the attempt may not run.
    pub fn begin(
        &mut self,
        id: Box<str>,
        attempt: attempt::Attempt,
        credit: u8,
        deadline: Instant,
        now: Instant,
    ) -> Result<allowance::Allowance, refusal::Refusal> {
        self.expire(now);
        let allowance = match self.entries.get(&id) {
            Some(entry) if entry.attempt == attempt => return Ok(entry.allowance),
            Some(entry) if entry.running && now < entry.ends_by => {
                return Err(refusal::Refusal::StillRunning);
            }
            // The attempt did not report its end before its deadline, so that the
            // credit that it left is unknown.
            Some(entry) if entry.running => allowance::Allowance {
                credit: 0,
                repeat: true,
            },
            Some(entry) => entry.allowance,
            None if self.entries.len() >= MAX_ENTRIES => return Err(refusal::Refusal::Full),
            None => allowance::Allowance {
                credit,
                repeat: false,
            },
        };
        self.insert(id, attempt, allowance, deadline);
        Ok(allowance)
    }

    /// Ends an attempt. Only the end of the latest attempt of an id has an effect.
    pub fn end(
        &mut self,
        id: &str,
        attempt: attempt::Attempt,
        outcome: outcome::Outcome,
        now: Instant,
    ) {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.attempt != attempt || !entry.running {
            return;
        }
        entry.running = false;
        entry.ends_by = now;
        entry.allowance = allowance::Allowance {
            credit: outcome.credit.min(entry.allowance.credit),
            repeat: entry.allowance.repeat || outcome.executions != Some(0),
        };
    }

    /// Number of ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no ids.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(
        &mut self,
        id: Box<str>,
        attempt: attempt::Attempt,
        allowance: allowance::Allowance,
        deadline: Instant,
    ) {
        let entry = entry::Entry {
            attempt,
            allowance,
            running: true,
            ends_by: deadline,
        };
        // A known id is in `expiries` already.
        if self.entries.insert(id.clone(), entry).is_none() {
            self.expiries.push(Reverse((deadline + RETENTION, id)));
        }
    }

    /// Removes ids whose retention is over.
    fn expire(&mut self, now: Instant) {
        while let Some(Reverse((at, _))) = self.expiries.peek() {
            if *at > now {
                return;
            }
            let Some(Reverse((_, id))) = self.expiries.pop() else {
                return;
            };
            self.expire_id(id, now);
        }
    }

    /// Removes an id, or schedules it again if a resend has extended its retention.
    fn expire_id(&mut self, id: Box<str>, now: Instant) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        let at = entry.ends_by + RETENTION;
        if at > now {
            self.expiries.push(Reverse((at, id)));
        } else {
            self.entries.remove(&id);
        }
    }
}
