//! Retry credit of one execution, kept by the node of its target.

use crate::credit::{allowance, half, outcome};

/// Retry credit of one execution at a target. The target's node keeps it and lends
/// part of it to each sub-call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    available: u8,
    lent: u8,
    open_sub_calls: u32,
    repeat: bool,
    executions: Option<u32>,
}

impl Account {
    /// Opens the account of an execution, which costs one credit under the repeat
    /// mark; `None` when there is no credit for it, and it must not run.
    #[must_use]
    pub const fn open(allowance: allowance::Allowance) -> Option<Self> {
        let cost = if allowance.repeat { 1 } else { 0 };
        let Some(available) = allowance.credit.checked_sub(cost) else {
            return None;
        };
        Some(Self {
            available,
            lent: 0,
            open_sub_calls: 0,
            repeat: allowance.repeat,
            executions: Some(1),
        })
    }

    /// Lends half of the credit, rounded up, to a sub-call.
    pub const fn lend(&mut self) -> allowance::Allowance {
        let credit = half::half_up(self.available);
        self.available -= credit;
        self.lent = self.lent.saturating_add(credit);
        self.open_sub_calls += 1;
        allowance::Allowance {
            credit,
            repeat: self.repeat,
        }
    }

    /// Takes back the credit that a sub-call left, at most what is lent.
    pub fn take_back(&mut self, outcome: outcome::Outcome) {
        let credit = outcome.credit.min(self.lent);
        self.lent -= credit;
        self.available = self.available.saturating_add(credit);
        self.open_sub_calls = self.open_sub_calls.saturating_sub(1);
        self.executions = outcome::sum(self.executions, outcome.executions);
    }

    /// Closes the account. Credit that is still lent is lost, and the number of
    /// executions is unknown if a sub-call has not ended.
    #[must_use]
    pub const fn close(self) -> outcome::Outcome {
        let executions = if self.open_sub_calls == 0 {
            self.executions
        } else {
            None
        };
        outcome::Outcome {
            credit: self.available,
            executions,
        }
    }
}
