//! What waits for writes.

use std::collections::VecDeque;

use crate::{index, message, sequence, snapshot, term};

/// Something that may happen only once a write is durable.
#[derive(Debug)]
pub enum Deferred {
    /// Sends a message that promises durability.
    Send(message::Message),
    /// Entries up to this index are durable.
    Durable(index::Index),
    /// Counts this member's vote for itself.
    OwnVote(term::Term),
    /// Hands a received snapshot to the caller.
    Install(snapshot::Snapshot),
}

/// Numbers the writes and holds back what depends on them.
#[derive(Debug, Default)]
pub struct Outbox {
    issued: sequence::Sequence,
    persisted: sequence::Sequence,
    dirty: bool,
    held: VecDeque<(sequence::Sequence, Deferred)>,
    ready: Vec<message::Message>,
}

impl Outbox {
    /// Notes that the next effects will contain a write.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Sends a message that promises nothing.
    pub fn send(&mut self, message: message::Message) {
        self.ready.push(message);
    }

    /// Sends a message once every change so far is durable.
    pub fn send_durable(&mut self, message: message::Message) {
        if self.pending() <= self.persisted {
            self.ready.push(message);
        } else {
            self.defer(Deferred::Send(message));
        }
    }

    /// Holds something back until every change so far is durable.
    pub fn defer(&mut self, deferred: Deferred) {
        self.held.push_back((self.pending(), deferred));
    }

    /// Lowers what earlier writes will make durable, after a truncation.
    pub fn truncate(&mut self, from: index::Index) {
        for (_, deferred) in &mut self.held {
            if let Deferred::Durable(index) = deferred {
                *index = (*index).min(from.previous());
            }
        }
    }

    /// Numbers the next write, if there is something to write.
    pub fn issue(&mut self) -> Option<sequence::Sequence> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.issued = self.issued.next();
        Some(self.issued)
    }

    /// Takes a report that all writes up to a number are durable, and releases
    /// what waited for them.
    pub fn persisted(&mut self, sequence: sequence::Sequence) -> Vec<Deferred> {
        self.persisted = self.persisted.max(sequence);
        let due = self.held.partition_point(|(wait, _)| *wait <= sequence);
        self.held.drain(..due).map(|(_, held)| held).collect()
    }

    /// Takes the messages that may be sent.
    pub fn take_ready(&mut self) -> Vec<message::Message> {
        std::mem::take(&mut self.ready)
    }

    fn pending(&self) -> sequence::Sequence {
        if self.dirty {
            self.issued.next()
        } else {
            self.issued
        }
    }
}
