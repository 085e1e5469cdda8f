//! The state of a leader, and the messages that it sends to the other members.

use std::time::Duration;

use masticarch_model::member;

use crate::{
    entry, index, log, membership, message, options, peer, position, progress, rounds, term,
};

/// A message body with its receiver.
#[derive(Debug)]
pub struct Outgoing {
    /// Id of the receiving member.
    pub to: member::Id,
    /// Body of the message, to which the sender and its term are added.
    pub body: message::Body,
}

/// State that a member has only while it leads.
#[derive(Debug)]
pub struct Leader {
    own_id: member::Id,
    members: Vec<progress::Progress>,
    /// Heartbeat rounds, which confirm that this member still leads.
    pub rounds: rounds::Rounds,
    /// When the next heartbeat is due.
    pub heartbeat_due: Duration,
    /// Whether no member can have acted as the leader before. This is so if the
    /// log held no entry of an earlier term at the election, because a leader
    /// confirms nothing before it has committed an entry of its own term.
    pub is_first: bool,
}

impl Leader {
    /// The state of a newly elected leader; the first heartbeat is due at once.
    pub fn new(own_id: member::Id, log: &log::Log, now: Duration) -> Self {
        let mut leader = Self {
            own_id,
            members: Vec::new(),
            rounds: rounds::Rounds::default(),
            heartbeat_due: now,
            is_first: log.last().term == term::Term::default(),
        };
        leader.update_members(log, now);
        leader
    }

    /// Adapts to the newest membership of the log: forgets members that were
    /// removed and starts to track those that were added.
    pub fn update_members(&mut self, log: &log::Log, now: Duration) {
        let membership = log.membership();
        self.members
            .retain(|progress| membership.find(progress.id).is_some());
        for member in membership.iter().filter(|member| member.id != self.own_id) {
            if self.find(member.id).is_none() {
                let progress = progress::Progress::new(member.id, log.last().index, now);
                self.members.push(progress);
            }
        }
    }

    /// The progress of another member; `None` for this member and unknown ids.
    pub fn find(&self, id: member::Id) -> Option<&progress::Progress> {
        self.members.iter().find(|progress| progress.id == id)
    }

    /// Mutable access to what [`Leader::find`] returns.
    pub fn find_mut(&mut self, id: member::Id) -> Option<&mut progress::Progress> {
        self.members.iter_mut().find(|progress| progress.id == id)
    }

    /// What this leader knows of each other member.
    pub fn peers(&self, now: Duration) -> Vec<peer::Peer> {
        let peer = |member: &progress::Progress| peer::Peer {
            id: member.id,
            matched: member.matched,
            silent: now.saturating_sub(member.last_heard),
        };
        self.members.iter().map(peer).collect()
    }

    /// Highest index that a majority of the voters holds durably.
    pub fn majority_index(&self, log: &log::Log) -> index::Index {
        log.membership().majority_value(|id| {
            if id == self.own_id {
                return log.durable();
            }
            self.find(id)
                .map_or(index::Index(0), |member| member.matched)
        })
    }

    /// Whether a majority of the voters, this member included, was heard from
    /// within `max_silence`.
    pub fn has_quorum(
        &self,
        membership: &membership::Membership,
        now: Duration,
        max_silence: Duration,
    ) -> bool {
        membership.is_majority(|id| {
            let member = self.find(id);
            id == self.own_id || member.is_some_and(|member| member.is_reachable(now, max_silence))
        })
    }

    /// Finishes the rounds that a majority has answered.
    pub fn finish_rounds(&mut self, membership: &membership::Membership) {
        let started = self.rounds.started();
        let round = membership.majority_value(|id| {
            if id == self.own_id {
                return started;
            }
            self.find(id).map_or(0, |member| member.round)
        });
        self.rounds.finish(round);
    }

    /// Starts a round and returns a heartbeat for every other member.
    pub fn start_round(&mut self, commit: index::Index) -> Vec<Outgoing> {
        let round = self.rounds.start();
        let heartbeat = |member: &progress::Progress| Outgoing {
            to: member.id,
            body: message::Body::Heartbeat {
                round,
                commit: commit.min(member.matched),
            },
        };
        self.members.iter().map(heartbeat).collect()
    }

    /// Prepares to send again what may have been lost.
    pub fn retry(&mut self) {
        self.members.iter_mut().for_each(progress::Progress::retry);
    }

    /// The next entries or snapshot chunks for every other member. A member that
    /// was not heard from within the longest election timeout receives heartbeats
    /// only, so that entries are not sent again and again over a link that is
    /// down.
    pub fn replicate(
        &mut self,
        log: &log::Log,
        commit: index::Index,
        options: &options::Options,
        now: Duration,
    ) -> Vec<Outgoing> {
        let max_silence = options.election_timeout_max;
        let mut sender = Sender {
            log,
            commit,
            options,
            outgoing: Vec::new(),
        };
        let reachable = |member: &&mut progress::Progress| member.is_reachable(now, max_silence);
        for member in self.members.iter_mut().filter(reachable) {
            sender.send_next(member);
        }
        sender.outgoing
    }
}

/// Collects the entries and snapshot chunks to send.
struct Sender<'a> {
    log: &'a log::Log,
    commit: index::Index,
    options: &'a options::Options,
    outgoing: Vec<Outgoing>,
}

impl Sender<'_> {
    fn send_next(&mut self, member: &mut progress::Progress) {
        self.end_outdated_snapshot(member);
        if self.log.term_at(member.next.previous()).is_none() {
            self.start_snapshot(member);
        }
        match member.mode {
            progress::Mode::Probe { in_flight: false } => {
                self.send_probe(member);
                member.mode = progress::Mode::Probe { in_flight: true };
            }
            progress::Mode::Replicate => self.send_entries(member),
            progress::Mode::Snapshot {
                in_flight: false, ..
            } => self.send_chunk(member),
            _ => {}
        }
    }

    /// Sends batches of entries until the member's window is full.
    fn send_entries(&mut self, member: &mut progress::Progress) {
        let last = self.log.last().index;
        while member.next <= last && self.has_room(member) {
            member.next = self.send_batch(member);
        }
    }

    /// Whether the entries in flight to a member leave room for another batch. Each of
    /// them is encoded and queued for its connection, so their size counts as well as
    /// their number.
    fn has_room(&self, member: &progress::Progress) -> bool {
        let sent = member.next.previous();
        let entries = sent.0.saturating_sub(member.matched.0);
        let bytes = self.log.bytes_between(member.matched, sent);
        entries < self.options.window_entries && bytes < self.options.window_bytes
    }

    /// Sends an append without entries, to learn whether the member has the entry
    /// before its next one.
    fn send_probe(&mut self, member: &progress::Progress) {
        self.send_append(member, Vec::new());
    }

    /// Sends one batch and returns the index after it.
    fn send_batch(&mut self, member: &progress::Progress) -> index::Index {
        let entries = self.log.entries_from(member.next, self.options.batch_bytes);
        let last = entries.last().map(|last| last.position.index);
        self.send_append(member, entries);
        last.map_or(member.next, index::Index::next)
    }

    fn send_append(&mut self, member: &progress::Progress, entries: Vec<entry::Entry>) {
        let index = member.next.previous();
        let term = self.log.term_at(index).unwrap_or_default();
        let body = message::Body::Append {
            previous: position::Position { term, index },
            entries,
            commit: self.commit,
        };
        self.send(member.id, body);
    }

    /// Ends the transfer of a snapshot that has been replaced by a newer one. The
    /// member may have caught up with the log in the meantime.
    fn end_outdated_snapshot(&self, member: &mut progress::Progress) {
        let newest = self.log.snapshot().meta.position.index;
        let outdated =
            matches!(member.mode, progress::Mode::Snapshot { index, .. } if index != newest);
        if outdated {
            member.mode = progress::Mode::Probe { in_flight: false };
        }
    }

    fn start_snapshot(&mut self, member: &mut progress::Progress) {
        let index = self.log.snapshot().meta.position.index;
        if !matches!(member.mode, progress::Mode::Snapshot { .. }) {
            member.mode = progress::Mode::Snapshot {
                index,
                received: 0,
                in_flight: false,
            };
        }
    }

    fn send_chunk(&mut self, member: &mut progress::Progress) {
        let progress::Mode::Snapshot {
            received,
            in_flight,
            ..
        } = &mut member.mode
        else {
            return;
        };
        *in_flight = true;
        let snapshot = self.log.snapshot();
        let start = usize::try_from(*received).unwrap_or(usize::MAX);
        let start = start.min(snapshot.data.len());
        let end = (start + self.options.chunk_bytes).min(snapshot.data.len());
        let body = message::Body::Chunk {
            meta: snapshot.meta.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].to_vec(),
        };
        self.send(member.id, body);
    }

    fn send(&mut self, to: member::Id, body: message::Body) {
        self.outgoing.push(Outgoing { to, body });
    }
}
