//! Messages and actions that wait for writes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::{index, message, sequence, snapshot, term};

/// An action that may be taken only once a write is durable.
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

/// A deferred action, with the write that it waits for.
#[derive(Debug)]
struct Held {
    wait: sequence::Sequence,
    deferred: Deferred,
}

/// Numbers the writes, and holds back the messages and actions that depend on
/// them.
#[derive(Debug, Default)]
pub struct Outbox {
    /// The last write that was numbered.
    issued: sequence::Sequence,
    /// The last write that is durable.
    persisted: sequence::Sequence,
    /// Whether there is something to write that no numbered write contains.
    dirty: bool,
    /// When the disk last finished a write, or the first unfinished one was
    /// numbered; `None` when all writes are durable.
    last_progress: Option<Duration>,
    /// In the order of the writes that they wait for.
    held: VecDeque<Held>,
    /// Messages that may be sent.
    ready: Vec<message::Message>,
}

impl Outbox {
    /// Notes that the next effects will contain a write.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Sends a message that promises no durability.
    pub fn send(&mut self, message: message::Message) {
        self.ready.push(message);
    }

    /// Sends a message once every change so far is durable.
    pub fn send_durable(&mut self, message: message::Message) {
        if self.last_write() <= self.persisted {
            self.ready.push(message);
        } else {
            self.defer(Deferred::Send(message));
        }
    }

    /// Holds an action back until every change so far is durable.
    pub fn defer(&mut self, deferred: Deferred) {
        let wait = self.last_write();
        self.held.push_back(Held { wait, deferred });
    }

    /// Lowers the index that earlier writes will make durable, after the log was
    /// truncated.
    pub fn truncate(&mut self, from: index::Index) {
        for held in &mut self.held {
            if let Deferred::Durable(index) = &mut held.deferred {
                *index = (*index).min(from.previous());
            }
        }
    }

    /// Numbers the next write, if there is something to write.
    pub fn number_write(&mut self, now: Duration) -> Option<sequence::Sequence> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.issued = self.issued.next();
        self.last_progress.get_or_insert(now);
        Some(self.issued)
    }

    /// Notes that all writes up to a number are durable, and returns the actions
    /// that waited for them.
    pub fn release(&mut self, sequence: sequence::Sequence, now: Duration) -> Vec<Deferred> {
        self.persisted = self.persisted.max(sequence);
        self.last_progress = (self.persisted < self.issued).then_some(now);
        let due = self.held.partition_point(|held| held.wait <= sequence);
        self.held.drain(..due).map(|held| held.deferred).collect()
    }

    /// Whether the disk has finished no write for longer than `timeout`.
    pub fn is_stalled(&self, now: Duration, timeout: Duration) -> bool {
        let waited = self.last_progress.map(|since| now.saturating_sub(since));
        waited.is_some_and(|waited| waited > timeout)
    }

    /// Takes the messages that may be sent.
    pub fn take_ready(&mut self) -> Vec<message::Message> {
        std::mem::take(&mut self.ready)
    }

    /// The write that contains every change so far.
    fn last_write(&self) -> sequence::Sequence {
        if self.dirty {
            self.issued.next()
        } else {
            self.issued
        }
    }
}
