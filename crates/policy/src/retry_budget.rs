//! Bound on the repeated requests to one service.

/// How many requests to a service may be repeated over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
}

/// Longest chain of calls whose repeats add up at its last service: the calls of
/// a repeated request are repeats as well.
const MAX_CHAIN_CALLS: f64 = 5.0;
/// Part of the slack that nodes may use at the same moment.
const SPENDABLE_SLACK_RATIO: f64 = 0.5;

/// Repeats that one node may send to a service. Each request earns a part of
/// one; what is saved is bounded by the node's part of the slack.
///
/// Nodes exchange nothing for it: the sum over all nodes is within the terms
/// because each node is within its part of them.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    deposit_per_request: f64,
    balance: f64,
    max_balance: f64,
}

impl Budget {
    /// The allowance of one of `nodes` nodes, with nothing saved.
    #[must_use]
    pub fn new(limits: Limits, nodes: u32) -> Self {
        let max_balance = SPENDABLE_SLACK_RATIO * limits.slack / f64::from(nodes.max(1));
        Self {
            deposit_per_request: limits.ratio / MAX_CHAIN_CALLS,
            balance: 0.0,
            max_balance: max_balance.max(1.0),
        }
    }

    /// Takes over what an earlier allowance has saved.
    #[must_use]
    pub fn with_balance_of(self, earlier: &Self) -> Self {
        Self {
            balance: earlier.balance.min(self.max_balance),
            ..self
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit_per_request).min(self.max_balance);
    }

    /// Whether a request may be sent again; takes the repeat if so.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
