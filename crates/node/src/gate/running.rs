//! State of a request in flight at its entry node.

use std::time::Instant;

use masticarch_model::{code, ran};
use masticarch_policy::credit::{allowance, balance, outcome};

use crate::gate::{choice, classify, endpoint, report, work};

/// A request in flight at its entry node: its attempts so far and its retry credit.
#[derive(Debug)]
pub struct Running {
    pub work: work::Work,
    pub deadline: Instant,
    pub idempotent: bool,
    /// Most targets to which the request is sent.
    pub max_attempts: Option<u8>,
    /// Attempts that have reached a target.
    pub arrivals: u8,
    /// Whether a target has refused an attempt.
    pub refused_by_target: bool,
    /// Retry credit of the request.
    pub balance: balance::Balance,
    /// Targets of the attempts so far; the last one is the current one.
    pub tried: Vec<endpoint::EndpointKey>,
    /// Whether the current attempt has neither been reported nor withdrawn.
    pub outstanding: bool,
    /// Target and credit of the current attempt.
    pub choice: choice::Choice,
}

impl Running {
    /// Target of the current attempt.
    pub fn endpoint(&self) -> Option<endpoint::EndpointKey> {
        self.tried.last().copied()
    }

    /// Records that a further attempt begins.
    pub fn begin_attempt(&mut self, endpoint: endpoint::EndpointKey, choice: choice::Choice) {
        self.tried.push(endpoint);
        self.outstanding = true;
        self.choice = choice;
    }

    /// Takes the report of the current attempt and returns its target; `None` when the
    /// attempt was already reported or withdrawn.
    pub fn report(&mut self, report: &report::Report) -> Option<endpoint::EndpointKey> {
        self.arrivals = self
            .arrivals
            .saturating_add(u8::from(classify::has_arrived(report)));
        self.refused_by_target |= report.failure == Some(code::Code::TargetRefused);
        self.close_attempt(report.credit, classify::executions(report))
    }

    /// Withdraws the current attempt, which was not sent: all credit that it was lent
    /// comes back. Returns its target; `None` when the attempt was already reported or
    /// withdrawn.
    pub fn withdraw(&mut self) -> Option<endpoint::EndpointKey> {
        self.close_attempt(self.choice.credit, Some(0))
    }

    /// Replaces the credit by what the ledger allows, and lends a part of it to the
    /// current attempt.
    pub fn set_credit(&mut self, allowance: allowance::Allowance) {
        self.balance = balance::Balance::new(allowance);
        let lent = self.balance.lend();
        self.choice.credit = lent.credit;
        self.choice.repeat = lent.repeat;
    }

    /// Whether a further attempt is harmless and may succeed.
    pub fn may_retry(&self, report: &report::Report) -> bool {
        let spent = self.max_attempts.is_some_and(|most| self.arrivals >= most);
        let harmless = self.idempotent || report.ran == ran::Ran::No;
        !spent && harmless && classify::failure(report).is_some_and(classify::is_retryable)
    }

    fn close_attempt(
        &mut self,
        credit: u8,
        executions: Option<u32>,
    ) -> Option<endpoint::EndpointKey> {
        if !std::mem::take(&mut self.outstanding) {
            return None;
        }
        self.balance
            .take_back(outcome::Outcome { credit, executions });
        self.endpoint()
    }
}
