//! A call that runs at a target beside this node.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use masticarch_kernel::stop;
use masticarch_policy::credit::account;

use crate::admission::{context, entry, key, local};
use crate::origin;

/// Time after its deadline at which a call that nobody ended counts as ended:
/// its connection task went away between the permit and the first use of it.
const ABANDONED_AFTER: Duration = Duration::from_secs(1);

/// A call that runs at a target beside this node.
#[derive(Debug)]
pub struct Call {
    /// Service of the target.
    pub local: local::Key,
    /// Credit and executions of its tree.
    pub account: account::Account,
    entry: Box<entry::Entry>,
    random: context::Random,
    ended: stop::Stop,
    /// Dropped with the call, which cancels its sub-calls.
    _end: oneshot::Sender<()>,
}

impl Call {
    /// A call that starts now.
    pub fn new(
        local: local::Key,
        entry: Box<entry::Entry>,
        account: account::Account,
        random: context::Random,
    ) -> Self {
        let (end, ended) = stop::Stop::new();
        Self {
            local,
            account,
            entry,
            random,
            ended,
            _end: end,
        }
    }

    /// Whether a context handle is that of this call.
    pub fn matches(&self, random: &context::Random) -> bool {
        self.random.matches(random)
    }

    /// Whether the call outlived its deadline without being ended.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.entry.deadline) > ABANDONED_AFTER
    }

    /// Credit that came with the request.
    pub fn credit(&self) -> u8 {
        self.entry.credit
    }

    /// Lends credit to a sub-call, which inherits from this call.
    pub fn lend(&mut self, key: key::CallKey) -> origin::Parent {
        let loan = self.account.lend();
        origin::Parent {
            call: key,
            root: self.entry.root.clone(),
            team: self.entry.team.clone(),
            rank: self.entry.rank,
            deadline: self.entry.deadline,
            credit: loan.credit,
            repeat: loan.repeat,
            ended: self.ended.clone(),
        }
    }
}
