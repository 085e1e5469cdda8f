//! Request ids with the credit that is left to them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use masticarch_model::{attempt, map};

use crate::credit::{loan, outcome};
use crate::ledger::{entry, refusal};

/// Time for which an id is kept after its request has ended.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Most ids; about 200 B each, so that the table stays within 20 MB.
const MAX_ENTRIES: usize = 100_000;

/// Request ids with the credit that is left to them.
#[derive(Debug, Default)]
pub struct Table {
    entries: map::Map<Box<str>, entry::Entry>,
    expiries: BinaryHeap<Reverse<(Instant, Box<str>)>>,
}

impl Table {
    /// Enters an attempt. The first one gets the route's credit; a resend gets
    /// what is left, and the repeat mark unless nothing ran before. Entering
    /// the same attempt again gives the same result.
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
    ) -> Result<loan::Loan, refusal::Refusal> {
        self.expire(now);
        let loan = match self.entries.get(&id) {
            Some(entry) if entry.attempt == attempt => return Ok(entry.loan),
            Some(entry) if entry.running && now < entry.ends_by => {
                return Err(refusal::Refusal::StillRunning);
            }
            // The attempt never reported its end: what it left is unknown.
            Some(entry) if entry.running => loan::Loan {
                credit: 0,
                repeat: true,
            },
            Some(entry) => entry.loan,
            None if self.entries.len() >= MAX_ENTRIES => return Err(refusal::Refusal::Full),
            None => loan::Loan {
                credit,
                repeat: false,
            },
        };
        self.insert(id, attempt, loan, deadline);
        Ok(loan)
    }

    /// Ends an attempt. The end of any but the latest attempt has no effect.
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
        entry.loan = loan::Loan {
            credit: outcome.credit.min(entry.loan.credit),
            repeat: entry.loan.repeat || outcome.executions != Some(0),
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
        loan: loan::Loan,
        deadline: Instant,
    ) {
        let entry = entry::Entry {
            attempt,
            loan,
            running: true,
            ends_by: deadline,
        };
        // An id that is known already has its place among the expiries.
        if self.entries.insert(id.clone(), entry).is_none() {
            self.expiries.push(Reverse((deadline + RETENTION, id)));
        }
    }

    /// Forgets ids that were kept long enough.
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

    /// Forgets an id, or looks at it again when a resend has prolonged it.
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
