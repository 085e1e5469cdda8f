//! What a leader knows of one member.

use std::time::Duration;

use masticarch_model::member;

use crate::index;

/// How a leader brings a member up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// One message at a time, until the end of the common log is found.
    Probe {
        /// Whether a message is under way.
        waiting: bool,
    },
    /// Entries are sent as they come.
    Replicate,
    /// A snapshot is sent in chunks.
    Transfer {
        /// Index that the snapshot covers.
        index: index::Index,
        /// Bytes that the member has.
        received: u64,
        /// Whether a chunk is under way.
        waiting: bool,
    },
}

/// What a leader knows of one member.
#[derive(Debug)]
pub struct Progress {
    /// The member.
    pub id: member::Id,
    /// Index up to which its log equals the leader's, durably.
    pub matched: index::Index,
    /// The next entry to send.
    pub next: index::Index,
    /// How it is brought up to date.
    pub mode: Mode,
    /// Latest round of confirmation that it answered.
    pub round: u64,
    /// When it was last heard from.
    pub heard: Duration,
    /// Whether it acknowledged anything since the last heartbeat.
    pub active: bool,
}

impl Progress {
    /// Starts to probe a member whose log is unknown.
    pub fn new(id: member::Id, last: index::Index, now: Duration) -> Self {
        Self {
            id,
            matched: index::Index(0),
            next: last.next(),
            mode: Mode::Probe { waiting: false },
            round: 0,
            heard: now,
            active: true,
        }
    }

    /// Whether the member was heard from within `limit`.
    pub fn is_heard(&self, now: Duration, limit: Duration) -> bool {
        now.saturating_sub(self.heard) <= limit
    }

    /// Takes an acknowledgement of entries; an earlier one changes nothing.
    pub fn appended(&mut self, matched: index::Index) {
        self.active = true;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        let transferred = match self.mode {
            Mode::Transfer { index, .. } => self.matched >= index,
            _ => true,
        };
        if transferred {
            self.mode = Mode::Replicate;
        }
    }

    /// Takes a rejection; returns without effect when it is an old one.
    pub fn rejected(&mut self, previous: index::Index, last: index::Index) {
        let stale = previous <= self.matched || previous >= self.next;
        if stale || matches!(self.mode, Mode::Transfer { .. }) {
            return;
        }
        self.active = true;
        let next = last.next().min(previous);
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe { waiting: false };
    }

    /// Takes a request for the next part of a snapshot. A repeated request is
    /// ignored: answering it would double every later chunk.
    pub fn received(&mut self, of: index::Index, bytes: u64) {
        if let Mode::Transfer {
            index,
            received,
            waiting,
        } = &mut self.mode
            && *index == of
            && bytes != *received
        {
            self.active = true;
            *received = bytes;
            *waiting = false;
        }
    }

    /// Sends again what may have been lost: called at each heartbeat.
    pub fn retry(&mut self) {
        if std::mem::replace(&mut self.active, false) {
            return;
        }
        match &mut self.mode {
            Mode::Probe { waiting } | Mode::Transfer { waiting, .. } => *waiting = false,
            Mode::Replicate if self.next > self.matched.next() => {
                self.next = self.matched.next();
                self.mode = Mode::Probe { waiting: false };
            }
            Mode::Replicate => {}
        }
    }
}
