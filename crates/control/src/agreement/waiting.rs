//! Requests that wait for the log.

use std::collections::BTreeMap;

use masticarch_agreement::{confirmation, index, position, term};
use masticarch_kernel::reply;
use masticarch_model::{code, map};

/// The reply slot of a proposal.
#[derive(Debug)]
pub enum Slot {
    /// Of a command; resolves to its index.
    Command(reply::Reply<Result<u64, code::Code>>),
    /// Of a change of members.
    Change(reply::Reply<Result<(), code::Code>>),
}

impl Slot {
    /// Sends the reply. Nobody waiting for it any more is no error.
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
    slot: Slot,
}

/// The reply slot of a confirmation.
type Confirm = reply::Reply<Result<(), code::Code>>;

/// Requests that wait for the log.
#[derive(Debug, Default)]
pub struct Waiting {
    /// In the order of their indices, unless a leader's log was cut meanwhile.
    proposals: Vec<Proposal>,
    unconfirmed: map::Map<confirmation::Id, Confirm>,
    /// Confirmed, but the owner of the state has not been sent the index yet.
    confirmed: BTreeMap<index::Index, Vec<Confirm>>,
}

impl Waiting {
    /// Makes a slot wait for the commit of a position.
    pub fn propose(&mut self, position: position::Position, slot: Slot) {
        let position::Position { term, index } = position;
        self.proposals.push(Proposal { index, term, slot });
    }

    /// Makes a slot wait for a confirmation.
    pub fn confirm(&mut self, id: confirmation::Id, reply: Confirm) {
        self.unconfirmed.insert(id, reply);
    }

    /// Resolves the proposals at an index, now that its entry is committed. A
    /// proposal of another term has been replaced and will never run.
    pub fn committed(&mut self, position: position::Position) {
        let at = |proposal: &mut Proposal| proposal.index == position.index;
        for proposal in self.proposals.extract_if(.., at) {
            let kept = proposal.term == position.term;
            let result = kept.then_some(position.index.0);
            proposal.slot.resolve(result.ok_or(code::Code::NotLeader));
        }
    }

    /// Gives up the proposals that a received snapshot covers.
    pub fn skipped(&mut self, covered: index::Index) {
        let at = |proposal: &mut Proposal| proposal.index <= covered;
        for proposal in self.proposals.extract_if(.., at) {
            let unknown = Err(code::Code::TimeoutOutcomeUnknown);
            proposal.slot.resolve(unknown);
        }
    }

    /// Takes a confirmation.
    pub fn confirmed(&mut self, confirmation: confirmation::Confirmation) {
        let reply = self.unconfirmed.remove(&confirmation.id);
        let slots = self.confirmed.entry(confirmation.index).or_default();
        slots.extend(reply);
    }

    /// Resolves the confirmations whose index the owner of the state was sent.
    pub fn sent(&mut self, index: index::Index) {
        let later = self.confirmed.split_off(&index.next());
        let due = std::mem::replace(&mut self.confirmed, later);
        for reply in due.into_values().flatten() {
            let _ = reply.send(Ok(()));
        }
    }

    /// Resolves a confirmation that can no longer be given.
    pub fn refused(&mut self, id: confirmation::Id) {
        if let Some(reply) = self.unconfirmed.remove(&id) {
            let _ = reply.send(Err(code::Code::NotLeader));
        }
    }

    /// Forgets proposals that nobody waits for, such as those of a leader that
    /// was cut off.
    pub fn forget_abandoned(&mut self) {
        self.proposals
            .retain(|proposal| !proposal.slot.is_abandoned());
    }

    /// Resolves everything after the storage failed. What was proposed may
    /// still be committed by the others.
    pub fn fail(&mut self) {
        for proposal in self.proposals.drain(..) {
            let unknown = Err(code::Code::TimeoutOutcomeUnknown);
            proposal.slot.resolve(unknown);
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
