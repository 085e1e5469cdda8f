//! The credit of a request at its entry node.

use crate::credit::{half, loan, outcome};

/// The credit of a request at its entry node, spent on further attempts.
///
/// Every further attempt costs at least one credit: without the repeat mark it
/// is charged here, with the mark by the target's node for each execution, and
/// here when the attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Balance {
    available: u8,
    lent: u8,
    repeat: bool,
    charge_if_not_run: bool,
    executions: Option<u32>,
}

impl Balance {
    /// A purse for a request that has not been attempted.
    #[must_use]
    pub const fn new(loan: loan::Loan) -> Self {
        Self {
            available: loan.credit,
            lent: 0,
            repeat: loan.repeat,
            charge_if_not_run: false,
            executions: Some(0),
        }
    }

    /// Lends half of the credit, rounded up, to an attempt; the rest pays for a
    /// further one should the answer be lost.
    pub const fn lend(&mut self) -> loan::Loan {
        let credit = half::half_up(self.available);
        self.available -= credit;
        self.lent = credit;
        loan::Loan {
            credit,
            repeat: self.repeat,
        }
    }

    /// Takes back what an attempt left.
    pub fn take_back(&mut self, outcome: outcome::Outcome) {
        let ran = outcome.executions != Some(0);
        self.available = self.available.saturating_add(outcome.credit.min(self.lent));
        self.lent = 0;
        if self.charge_if_not_run && !ran {
            self.available = self.available.saturating_sub(1);
        }
        self.charge_if_not_run = false;
        self.executions = outcome::sum(self.executions, outcome.executions);
    }

    /// Whether a further attempt is allowed after one whose tree had this many
    /// executions; takes its cost.
    pub fn retry(&mut self, executions: Option<u32>) -> bool {
        if self.available == 0 {
            return false;
        }
        // Sub-calls of the failed attempt may run again, so that from now on
        // each execution is counted.
        self.repeat |= executions.is_none_or(|count| count > 1);
        self.charge_if_not_run = self.repeat;
        if !self.repeat {
            self.available -= 1;
        }
        true
    }

    /// What is left at the end of the request.
    #[must_use]
    pub const fn close(self) -> outcome::Outcome {
        outcome::Outcome {
            credit: self.available,
            executions: self.executions,
        }
    }
}
