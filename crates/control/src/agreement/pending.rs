//! Requests that wait for a commit or a confirmation.

use std::collections::BTreeMap;

use masticarch_agreement::{confirmation, index, position, term};
use masticarch_kernel::reply;
use masticarch_model::{code, map};

/// A proposer that waits for the commit of its proposal.
#[derive(Debug)]
pub enum Waiter {
    /// The proposer of a command; the reply is its log index.
    Command(reply::Reply<Result<u64, code::Code>>),
    /// The proposer of a change of members.
    Change(reply::Reply<Result<(), code::Code>>),
}

impl Waiter {
    /// Sends the reply. It is not an error if nobody waits for it any more.
    pub fn resolve(self, result: Result<u64, code::Code>) {
        match self {
            Self::Command(reply) => drop(reply.send(result)),
            Self::Change(reply) => drop(reply.send(result.map(|_| ()))),
        }
    }

    fn is_abandoned(&self) -> bool {
        match self {
            Self::Command(reply) => reply.is_canceled(),
            Self::Change(reply) => reply.is_canceled(),
        }
    }
}

/// A proposal in the log that is not committed yet.
#[derive(Debug)]
struct Proposal {
    index: index::Index,
    term: term::Term,
    waiter: Waiter,
}

/// The reply of a pending confirmation of leadership.
type Confirm = reply::Reply<Result<(), code::Code>>;

/// Requests that wait for a commit or a confirmation.
#[derive(Debug, Default)]
pub struct Pending {
    /// In the order of their indices, except after the log was truncated by another
    /// leader.
    proposals: Vec<Proposal>,
    unconfirmed: map::Map<confirmation::Id, Confirm>,
    /// Requests that are confirmed, by the confirmed index. The entry at that index has
    /// not been sent to the state machine yet.
    confirmed: BTreeMap<index::Index, Vec<Confirm>>,
}

impl Pending {
    /// Adds a proposal that waits for the commit of a position.
    pub fn add_proposal(&mut self, position: position::Position, waiter: Waiter) {
        let position::Position { term, index } = position;
        self.proposals.push(Proposal {
            index,
            term,
            waiter,
        });
    }

    /// Adds a request for a confirmation, which waits for its heartbeat round.
    pub fn add_confirmation(&mut self, id: confirmation::Id, reply: Confirm) {
        self.unconfirmed.insert(id, reply);
    }

    /// Resolves the proposals at the index of a committed entry. A proposal of
    /// another term has been overwritten and will never be committed.
    pub fn resolve_committed(&mut self, position: position::Position) {
        let at = |proposal: &mut Proposal| proposal.index == position.index;
        for proposal in self.proposals.extract_if(.., at) {
            let kept = proposal.term == position.term;
            let result = kept.then_some(position.index.0);
            proposal.waiter.resolve(result.ok_or(code::Code::NotLeader));
        }
    }

    /// Fails the proposals that an installed snapshot covers. It does not show
    /// whether they were committed.
    pub fn fail_covered(&mut self, covered: index::Index) {
        let at = |proposal: &mut Proposal| proposal.index <= covered;
        for proposal in self.proposals.extract_if(.., at) {
            let unknown = Err(code::Code::TimeoutOutcomeUnknown);
            proposal.waiter.resolve(unknown);
        }
    }

    /// Records that the heartbeat round of a request has succeeded. The request still
    /// waits until the entries up to the confirmed index have been sent to the state
    /// machine.
    pub fn mark_confirmed(&mut self, confirmation: confirmation::Confirmation) {
        let reply = self.unconfirmed.remove(&confirmation.id);
        let replies = self.confirmed.entry(confirmation.index).or_default();
        replies.extend(reply);
    }

    /// Resolves the confirmations up to an index that has been sent to the state
    /// machine.
    pub fn resolve_confirmed(&mut self, index: index::Index) {
        let later = self.confirmed.split_off(&index.next());
        let due = std::mem::replace(&mut self.confirmed, later);
        for reply in due.into_values().flatten() {
            let _ = reply.send(Ok(()));
        }
    }

    /// Fails a request for a confirmation, because this member does not lead.
    pub fn refuse(&mut self, id: confirmation::Id) {
        if let Some(reply) = self.unconfirmed.remove(&id) {
            let _ = reply.send(Err(code::Code::NotLeader));
        }
    }

    /// Drops proposals that nobody waits for any more, such as those of a leader that
    /// was partitioned.
    pub fn drop_abandoned(&mut self) {
        self.proposals
            .retain(|proposal| !proposal.waiter.is_abandoned());
    }

    /// Fails everything after the storage has failed. The other members may still
    /// commit what was proposed.
    pub fn fail_all(&mut self) {
        for proposal in self.proposals.drain(..) {
            let unknown = Err(code::Code::TimeoutOutcomeUnknown);
            proposal.waiter.resolve(unknown);
        }
        let confirmed = std::mem::take(&mut self.confirmed).into_values().flatten();
        for reply in self
            .unconfirmed
            .drain()
            .map(|(_, reply)| reply)
            .chain(confirmed)
        {
            let _ = reply.send(Err(code::Code::StorageFailed));
        }
    }
}
