//! A request that runs at a target beside this node.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use masticarch_kernel::stop;
use masticarch_model::name;
use masticarch_policy::credit::account;

use crate::admission::{context, entry, key, local};
use crate::origin;

/// Time after its deadline at which a call that nobody ended is removed: its connection
/// task was dropped before it read the permit.
const ABANDONED_AFTER: Duration = Duration::from_secs(1);

/// A request that runs at a target beside this node, from its permit to its release.
#[derive(Debug)]
pub struct Call {
    /// Key of the target.
    pub local: local::Key,
    /// Retry credit and executions of its call tree.
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

    /// Whether the random part of a context handle is that of this call.
    pub fn matches(&self, random: &context::Random) -> bool {
        self.random.matches(random)
    }

    /// Whether nobody has ended the call although its deadline passed some time ago.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.entry.deadline) > ABANDONED_AFTER
    }

    /// Route of the request.
    pub fn route(&self) -> &name::Name {
        &self.entry.route
    }

    /// Retry credit that came with the request.
    pub fn credit(&self) -> u8 {
        self.entry.credit
    }

    /// Lends retry credit to a sub-call, and returns what the sub-call inherits from
    /// this call, whose key is `key`.
    pub fn begin_sub_call(&mut self, key: key::CallKey) -> origin::Parent {
        let allowance = self.account.lend();
        origin::Parent {
            call: key,
            root: self.entry.root.clone(),
            team: self.entry.team.clone(),
            rank: self.entry.rank,
            deadline: self.entry.deadline,
            credit: allowance.credit,
            repeat: allowance.repeat,
            ended: self.ended.clone(),
        }
    }
}
