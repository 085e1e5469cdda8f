//! Retry credit of one request, kept by its entry node.

use crate::credit::{allowance, half, outcome};

/// Retry credit of one request. Its entry node keeps it, spends it on retries and
/// lends part of it to each attempt.
///
/// Every retry costs at least one credit. Without the repeat mark it is charged
/// here. With the mark, the nodes of the targets charge each execution, and a
/// retry that did not run is charged here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Balance {
    available: u8,
    lent: u8,
    repeat: bool,
    charge_if_not_run: bool,
    executions: Option<u32>,
}

impl Balance {
    /// The balance of a request before its first attempt.
    #[must_use]
    pub const fn new(allowance: allowance::Allowance) -> Self {
        Self {
            available: allowance.credit,
            lent: 0,
            repeat: allowance.repeat,
            charge_if_not_run: false,
            executions: Some(0),
        }
    }

    /// Lends half of the credit, rounded up, to an attempt. The rest pays for a
    /// retry if the answer is lost.
    pub const fn lend(&mut self) -> allowance::Allowance {
        let credit = half::half_up(self.available);
        self.available -= credit;
        self.lent = credit;
        allowance::Allowance {
            credit,
            repeat: self.repeat,
        }
    }

    /// Takes back the credit that an attempt left, at most what was lent to it.
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

    /// Charges a retry after an attempt whose call tree had this many executions;
    /// returns whether there was credit for it.
    pub fn retry(&mut self, executions: Option<u32>) -> bool {
        if self.available == 0 {
            return false;
        }
        // Sub-calls of the failed attempt may run again, so that each execution
        // is charged from now on.
        self.repeat |= executions.is_none_or(|count| count > 1);
        self.charge_if_not_run = self.repeat;
        if !self.repeat {
            self.available -= 1;
        }
        true
    }

    /// The credit left and the executions at the end of the request.
    #[must_use]
    pub const fn close(self) -> outcome::Outcome {
        outcome::Outcome {
            credit: self.available,
            executions: self.executions,
        }
    }
}
