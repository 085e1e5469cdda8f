//! What a leader knows of one member.

use std::time::Duration;

use masticarch_model::member;

use crate::index;

/// How a leader brings a member up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// One message at a time, until the end of the common log is found.
    Probe {
        /// Whether a message is in flight.
        in_flight: bool,
    },
    /// Entries are sent as they come.
    Replicate,
    /// A snapshot is sent in chunks.
    Snapshot {
        /// Index that the snapshot covers.
        index: index::Index,
        /// Bytes that the member has.
        received: u64,
        /// Whether a chunk is in flight.
        in_flight: bool,
    },
}

/// What a leader knows of one member.
#[derive(Debug)]
pub struct Progress {
    /// Id of the member, which is never the leader itself.
    pub id: member::Id,
    /// Index up to which its log equals the leader's, durably.
    pub matched: index::Index,
    /// The next entry to send.
    pub next: index::Index,
    /// How it is brought up to date.
    pub mode: Mode,
    /// Latest heartbeat round that it answered.
    pub round: u64,
    /// When it was last heard from.
    pub last_heard: Duration,
    /// Whether it acknowledged anything since the last heartbeat.
    pub acknowledged: bool,
}

impl Progress {
    /// Starts to probe a member whose log is unknown.
    pub fn new(id: member::Id, last: index::Index, now: Duration) -> Self {
        Self {
            id,
            matched: index::Index(0),
            next: last.next(),
            mode: Mode::Probe { in_flight: false },
            round: 0,
            last_heard: now,
            acknowledged: true,
        }
    }

    /// Whether the member was heard from within `max_silence`.
    pub fn is_reachable(&self, now: Duration, max_silence: Duration) -> bool {
        now.saturating_sub(self.last_heard) <= max_silence
    }

    /// Handles an acknowledgement of entries. A late one does not lower what is
    /// known.
    pub fn appended(&mut self, matched: index::Index) {
        self.acknowledged = true;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        let transferred = match self.mode {
            Mode::Snapshot { index, .. } => self.matched >= index,
            _ => true,
        };
        if transferred {
            self.mode = Mode::Replicate;
        }
    }

    /// Handles a rejection; an outdated one is ignored.
    pub fn rejected(&mut self, previous: index::Index, last: index::Index) {
        let stale = previous <= self.matched || previous >= self.next;
        if stale || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.acknowledged = true;
        let next = last.next().min(previous);
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe { in_flight: false };
    }

    /// Handles a request for the next part of a snapshot. A repeated request is
    /// ignored, because every later chunk would be sent twice otherwise.
    pub fn received(&mut self, of: index::Index, bytes: u64) {
        if let Mode::Snapshot {
            index,
            received,
            in_flight,
        } = &mut self.mode
            && *index == of
            && bytes != *received
        {
            self.acknowledged = true;
            *received = bytes;
            *in_flight = false;
        }
    }

    /// Prepares to send again what may have been lost, unless the member has
    /// acknowledged something since the last call. Called at each heartbeat.
    pub fn retry(&mut self) {
        if std::mem::replace(&mut self.acknowledged, false) {
            return;
        }
        match &mut self.mode {
            Mode::Probe { in_flight } | Mode::Snapshot { in_flight, .. } => *in_flight = false,
            Mode::Replicate if self.next > self.matched.next() => {
                self.next = self.matched.next();
                self.mode = Mode::Probe { in_flight: false };
            }
            Mode::Replicate => {}
        }
    }
}
