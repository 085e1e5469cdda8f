//! Bound on the repeated requests to one service.

/// How many requests to a service may be repeated over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
}

/// Longest chain of calls whose repeats add up at its last service: the calls of
/// a repeated request are repeats as well.
const CHAIN: f64 = 5.0;
/// Part of the slack that nodes may use at the same moment.
const SLACK_PART: f64 = 0.5;

/// Repeats that one node may send to a service. Each request earns a part of
/// one; what is saved is bounded by the node's part of the slack.
///
/// Nodes exchange nothing for it: the sum over all nodes is within the terms
/// because each node is within its part of them.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    earned: f64,
    saved: f64,
    most: f64,
}

impl Allowance {
    /// The allowance of one of `nodes` nodes, with nothing saved.
    #[must_use]
    pub fn new(terms: Terms, nodes: u32) -> Self {
        let part = SLACK_PART * terms.slack / f64::from(nodes.max(1));
        Self {
            earned: terms.ratio / CHAIN,
            saved: 0.0,
            most: part.max(1.0),
        }
    }

    /// Takes over what an earlier allowance has saved.
    #[must_use]
    pub fn continued(self, earlier: &Self) -> Self {
        Self {
            saved: earlier.saved.min(self.most),
            ..self
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.earned).min(self.most);
    }

    /// Whether a request may be sent again; takes the repeat if so.
    pub fn repeat(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
