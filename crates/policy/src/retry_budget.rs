//! Retry budget of one service.

/// Bounds on the retries to one service over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in addition to `ratio`, over the whole fleet.
    pub slack: f64,
}

/// Longest chain of calls for which the limits hold. Retries at each call of a
/// chain add up at its last service, because the calls made by a retried request
/// are retries as well; the ratio is therefore divided by this number.
const MAX_CHAIN_CALLS: f64 = 5.0;
/// Fraction of the slack that all nodes together may use at the same time.
const SPENDABLE_SLACK_RATIO: f64 = 0.5;

/// Retries that one node may send to a service. Each first attempt deposits a
/// fraction of a retry, and each retry withdraws one; the balance is bounded by
/// the node's part of the slack.
///
/// Nodes do not coordinate: each stays within its part of the limits, so that
/// the fleet stays within them.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    deposit_per_request: f64,
    balance: f64,
    max_balance: f64,
}

impl Budget {
    /// The budget of one of `nodes` nodes, with a balance of 0.
    #[must_use]
    pub fn new(limits: Limits, nodes: u32) -> Self {
        let max_balance = SPENDABLE_SLACK_RATIO * limits.slack / f64::from(nodes.max(1));
        Self {
            deposit_per_request: limits.ratio / MAX_CHAIN_CALLS,
            balance: 0.0,
            max_balance: max_balance.max(1.0),
        }
    }

    /// Takes over the balance of an earlier budget, up to the new maximum.
    #[must_use]
    pub fn with_balance_of(self, earlier: &Self) -> Self {
        Self {
            balance: earlier.balance.min(self.max_balance),
            ..self
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_per_request).min(self.max_balance);
    }

    /// Takes one retry from the balance; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
