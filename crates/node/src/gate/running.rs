//! A request in flight at its entry node.

use std::time::Instant;

use masticarch_model::ran;
use masticarch_policy::credit::{balance, loan, outcome};

use crate::gate::{choice, remote, remotes, report, verdict};

/// A request in flight at its entry node.
#[derive(Debug)]
pub struct Running {
    pub pool: remotes::PoolKey,
    pub rank: u8,
    pub deadline: Instant,
    pub idempotent: bool,
    /// Most targets to which the request is sent.
    pub attempts: Option<u8>,
    /// Attempts that have reached a target.
    pub arrivals: u8,
    pub balance: balance::Balance,
    /// Targets of the attempts so far; the last one is the present one.
    pub tried: Vec<remote::RemoteKey>,
    /// Whether the present attempt has neither been reported nor withdrawn.
    pub outstanding: bool,
    /// The present attempt.
    pub choice: choice::Choice,
}

impl Running {
    /// Target of the present attempt.
    pub fn remote(&self) -> Option<remote::RemoteKey> {
        self.tried.last().copied()
    }

    /// Begins a further attempt.
    pub fn attempt(&mut self, remote: remote::RemoteKey, choice: choice::Choice) {
        self.tried.push(remote);
        self.outstanding = true;
        self.choice = choice;
    }

    /// Takes the report of the present attempt and returns its target; `None`
    /// when the attempt was reported before.
    pub fn report(&mut self, report: &report::Report) -> Option<remote::RemoteKey> {
        self.arrivals = self
            .arrivals
            .saturating_add(u8::from(verdict::has_arrived(report)));
        self.close_attempt(report.credit, verdict::executions(report))
    }

    /// The present attempt was not sent: all that it was lent comes back.
    /// Returns its target; `None` when the attempt was reported before.
    pub fn withdraw(&mut self) -> Option<remote::RemoteKey> {
        self.close_attempt(self.choice.credit, Some(0))
    }

    /// Replaces the credit by what the ledger allows.
    pub fn set_credit(&mut self, loan: loan::Loan) {
        self.balance = balance::Balance::new(loan);
        let lent = self.balance.lend();
        self.choice.credit = lent.credit;
        self.choice.repeat = lent.repeat;
    }

    /// Whether a further attempt is harmless and may succeed.
    pub fn may_retry(&self, report: &report::Report) -> bool {
        let spent = self.attempts.is_some_and(|most| self.arrivals >= most);
        let harmless = self.idempotent || report.ran == ran::Ran::No;
        !spent && harmless && verdict::failure(report).is_some_and(verdict::is_retryable)
    }

    fn close_attempt(&mut self, credit: u8, executions: Option<u32>) -> Option<remote::RemoteKey> {
        if !std::mem::take(&mut self.outstanding) {
            return None;
        }
        self.balance
            .take_back(outcome::Outcome { credit, executions });
        self.remote()
    }
}
