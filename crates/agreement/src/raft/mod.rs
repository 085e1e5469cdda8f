//! The state machine of one member.

mod election;
mod following;
mod join;
mod leading;

use std::sync::Arc;
use std::time::Duration;

use masticarch_model::member;

use crate::{
    assembly, bound, change, confirmation, effects, entry, index, log, membership, message,
    options, outbox, payload, peer, position, random, recovered, refusal, role, rounds, sequence,
    snapshot, state, status, term, vote, write,
};

/// The consensus state of one member.
///
/// After any input the caller takes the [`effects::Effects`], carries them out,
/// and reports finished writes by [`Raft::persisted`]. Inputs between two calls
/// of [`Raft::take_effects`] share one write and one message to each member.
#[derive(Debug)]
pub struct Raft<R> {
    id: member::Id,
    options: options::Options,
    random: R,
    now: Duration,
    vote: vote::Vote,
    /// Whether no write contains the present vote yet.
    vote_dirty: bool,
    /// Whether no write contains the present snapshot yet.
    snapshot_dirty: bool,
    log: log::Log,
    outbox: outbox::Outbox,
    state: state::State,
    commit_index: index::Index,
    /// Index of the last entry handed to the caller.
    last_emitted: index::Index,
    election_due: Duration,
    /// When a leader was last heard from, if ever.
    last_heard: Option<Duration>,
    /// Snapshot that is being received from the leader.
    assembly: Option<assembly::Assembly>,
    next_confirmation: u64,
    /// Status in the last effects.
    reported_status: Option<status::Status>,
    /// Durable snapshot to hand over in the next effects.
    installed: Option<snapshot::Snapshot>,
    /// Requests for a confirmation to refuse in the next effects.
    refused: Vec<confirmation::Id>,
}

impl<R: random::Random> Raft<R> {
    /// Starts a member from what it has persisted.
    ///
    /// The first effects hand the recovered snapshot back to the caller. `now`
    /// is the time since any fixed moment, from a clock that never goes back.
    pub fn new(
        id: member::Id,
        options: options::Options,
        recovered: recovered::Recovered,
        random: R,
        now: Duration,
    ) -> Self {
        let vote = recovered.vote;
        let snapshot = recovered.snapshot.clone();
        let start = snapshot.meta.position.index;
        let mut raft = Self {
            id,
            options,
            random,
            now,
            vote,
            vote_dirty: false,
            snapshot_dirty: false,
            log: log::Log::new(recovered),
            outbox: outbox::Outbox::default(),
            state: state::State::Follower(None),
            commit_index: start,
            last_emitted: start,
            election_due: now,
            last_heard: None,
            assembly: None,
            next_confirmation: 0,
            reported_status: None,
            installed: (start > index::Index(0)).then_some(snapshot),
            refused: Vec::new(),
        };
        raft.reset_election_timer();
        raft
    }

    /// Advances the clock. This starts elections, sends heartbeats, and makes a
    /// leader step down that hears from no majority.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if matches!(self.state, state::State::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.start_pre_vote();
        }
    }

    /// When [`Raft::tick`] should next be called at the latest.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        match &self.state {
            state::State::Leader(leader) => leader.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, message: message::Message) {
        self.now = self.now.max(now);
        if message.to != self.id || message.from == self.id {
            return;
        }
        if message.term > self.vote.term && Self::raises_term(&message.body) {
            self.adopt_term(message.term);
        }
        if message.term < self.vote.term && !self.accepts_outdated(&message) {
            return;
        }
        self.dispatch(message);
    }

    /// Appends a command to the log, if this member leads. The command is
    /// accepted once [`effects::Effects::committed`] has an entry at the
    /// returned position; another entry at that index means that it was lost.
    ///
    /// # Errors
    /// [`refusal::Refusal::NotLeader`] or [`refusal::Refusal::Busy`].
    pub fn propose(
        &mut self,
        command: impl Into<Arc<[u8]>>,
    ) -> Result<position::Position, refusal::Refusal> {
        self.require_leader()?;
        if self.log.last().index.0 - self.commit_index.0 >= self.options.max_uncommitted_entries {
            return Err(refusal::Refusal::Busy);
        }
        Ok(self.append_entry(payload::Payload::Command(command.into())))
    }

    /// Appends a change of members, if this member leads. It is in effect from
    /// the moment it is in the log, and final once it is committed.
    ///
    /// # Errors
    /// Any [`refusal::Refusal`] but `Busy`.
    pub fn propose_change(
        &mut self,
        change: change::Change,
    ) -> Result<position::Position, refusal::Refusal> {
        self.require_leader()?;
        self.require_commit_in_term()?;
        if self.log.membership_index() > self.commit_index {
            return Err(refusal::Refusal::ChangePending);
        }
        if let change::Change::Promote(id) = &change {
            self.require_caught_up(*id)?;
        }
        let membership = self.log.membership().with(change)?;
        Ok(self.append_entry(payload::Payload::Members(membership)))
    }

    /// Requests a confirmation that this member leads. It is given once a majority
    /// has answered a round of heartbeats begun after this call.
    ///
    /// # Errors
    /// [`refusal::Refusal::NotLeader`].
    pub fn confirm_leadership(&mut self) -> Result<confirmation::Id, refusal::Refusal> {
        self.request_confirmation(rounds::Rounds::wait)
    }

    /// Requests a confirmation as [`Self::confirm_leadership`] does. It waits for
    /// the next regular heartbeat, so that it costs no message.
    ///
    /// # Errors
    /// [`refusal::Refusal::NotLeader`].
    pub fn confirm_leadership_by_heartbeat(
        &mut self,
    ) -> Result<confirmation::Id, refusal::Refusal> {
        self.request_confirmation(rounds::Rounds::wait_for_heartbeat)
    }

    fn request_confirmation(
        &mut self,
        wait: impl FnOnce(&mut rounds::Rounds, confirmation::Id),
    ) -> Result<confirmation::Id, refusal::Refusal> {
        self.require_leader()?;
        let id = confirmation::Id(self.next_confirmation);
        self.next_confirmation += 1;
        if let Some(leader) = self.state.leader_mut() {
            wait(&mut leader.rounds, id);
        }
        Ok(id)
    }

    /// Handles the report that all writes up to a number are durable.
    pub fn persisted(&mut self, sequence: sequence::Sequence) {
        for deferred in self.outbox.release(sequence, self.now) {
            match deferred {
                outbox::Deferred::Send(message) => self.outbox.send(message),
                outbox::Deferred::Durable(index) => self.log.mark_durable(index),
                outbox::Deferred::OwnVote(term) => self.count_own_vote(term),
                outbox::Deferred::Install(snapshot) => self.emit_snapshot(snapshot),
            }
        }
    }

    /// Takes a snapshot of the caller's state, which must include exactly the
    /// entries up to `index`. Returns false when `index` was not handed out
    /// yet, or is not newer than the present snapshot.
    pub fn compact(&mut self, index: index::Index, data: Arc<[u8]>) -> bool {
        let known = index <= self.last_emitted;
        let retention = bound::Bound {
            entries: self.options.retained_entries,
            bytes: self.options.retained_bytes,
        };
        let taken = known && self.log.compact(index, data, retention);
        if taken {
            self.snapshot_dirty = true;
            self.outbox.mark_dirty();
        }
        taken
    }

    /// Takes everything the caller must carry out since the last call.
    pub fn take_effects(&mut self) -> effects::Effects {
        self.advance_leader();
        let write = self.take_write();
        let status = self.status();
        let changed = self.reported_status != Some(status);
        self.reported_status = Some(status);
        let installed = self.installed.take();
        effects::Effects {
            write,
            messages: self.outbox.take_ready(),
            installed,
            committed: self.take_committed(),
            confirmed: self.take_confirmed(),
            refused: std::mem::take(&mut self.refused),
            status: changed.then_some(status),
        }
    }

    /// Role, term and known leader.
    #[must_use]
    pub fn status(&self) -> status::Status {
        let leader = match &self.state {
            state::State::Leader(_) => Some(self.id),
            state::State::Follower(leader) => *leader,
            _ => None,
        };
        status::Status {
            role: self.state.role(),
            term: self.vote.term,
            leader,
            is_first_leader: self.state.leader().is_some_and(|leader| leader.is_first),
        }
    }

    /// The newest membership in the log.
    #[must_use]
    pub fn membership(&self) -> &membership::Membership {
        self.log.membership()
    }

    /// Index up to which the log is committed, as far as this member knows.
    #[must_use]
    pub fn commit_index(&self) -> index::Index {
        self.commit_index
    }

    /// Index up to which this member's log is durable.
    #[must_use]
    pub fn durable(&self) -> index::Index {
        self.log.durable()
    }

    /// What this member knows of the others; nothing unless it leads.
    #[must_use]
    pub fn peers(&self) -> Vec<peer::Peer> {
        match &self.state {
            state::State::Leader(leader) => leader.peers(self.now),
            _ => Vec::new(),
        }
    }

    /// Whether a message of a later term raises the receiver's term.
    /// [`message::Body::PreVote`] must not, or a member that was cut off would
    /// depose the leader on its return.
    fn raises_term(body: &message::Body) -> bool {
        !matches!(body, message::Body::PreVote { .. })
    }

    /// Whether a message of an earlier term must be handled all the same. The
    /// sender of any other request learns that its term is outdated.
    fn accepts_outdated(&mut self, message: &message::Message) -> bool {
        match message.body {
            message::Body::PreVote { .. } | message::Body::PreVoteReply { .. } => true,
            message::Body::Append { .. }
            | message::Body::Heartbeat { .. }
            | message::Body::Vote { .. }
            | message::Body::Chunk { .. } => {
                self.send(message.from, message::Body::Outdated);
                false
            }
            _ => false,
        }
    }

    fn dispatch(&mut self, message: message::Message) {
        let from = message.from;
        match message.body {
            message::Body::PreVote { last } => self.on_pre_vote(from, message.term, last),
            message::Body::PreVoteReply {
                asked_term,
                granted,
            } => {
                self.on_pre_vote_reply(from, asked_term, granted);
            }
            message::Body::Vote { last } => self.on_vote(from, last),
            message::Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            message::Body::Append {
                previous,
                entries,
                commit,
            } => self.on_append(from, previous, entries, commit),
            message::Body::Heartbeat { round, commit } => self.on_heartbeat(from, round, commit),
            message::Body::Chunk {
                meta,
                offset,
                total,
                data,
            } => self.on_chunk(from, meta, offset, total, &data),
            body => self.on_reply(from, &body),
        }
    }

    /// Moves to a later term, without a vote in it.
    fn adopt_term(&mut self, term: term::Term) {
        self.set_vote(term, None);
        self.become_follower(None);
    }

    fn set_vote(&mut self, term: term::Term, candidate: Option<member::Id>) {
        self.vote = vote::Vote { term, candidate };
        self.vote_dirty = true;
        self.outbox.mark_dirty();
    }

    fn become_follower(&mut self, leader: Option<member::Id>) {
        if let Some(leading) = self.state.leader_mut() {
            self.refused.extend(leading.rounds.take_all());
            self.reset_election_timer();
        }
        self.state = state::State::Follower(leader);
    }

    /// Draws the time of the next election at random, so that members rarely
    /// start elections at the same time.
    fn reset_election_timer(&mut self) {
        let min = self.options.election_timeout_min;
        let spread = self
            .options
            .election_timeout_max
            .saturating_sub(min)
            .as_micros();
        let spread = u64::try_from(spread).unwrap_or(u64::MAX - 1);
        let extra = self.random.below(spread + 1);
        self.election_due = self.now + min + Duration::from_micros(extra);
    }

    fn message(&self, to: member::Id, body: message::Body) -> message::Message {
        message::Message {
            from: self.id,
            to,
            term: self.vote.term,
            body,
        }
    }

    fn send(&mut self, to: member::Id, body: message::Body) {
        let message = self.message(to, body);
        self.outbox.send(message);
    }

    fn send_durable(&mut self, to: member::Id, body: message::Body) {
        let message = self.message(to, body);
        self.outbox.send_durable(message);
    }

    fn take_write(&mut self) -> Option<write::Write> {
        let sequence = self.outbox.number_write(self.now)?;
        let entries = self.log.take_unwritten();
        if let Some(last) = entries.last() {
            let durable = outbox::Deferred::Durable(last.position.index);
            self.outbox.defer(durable);
        }
        let snapshot = std::mem::take(&mut self.snapshot_dirty);
        let vote = std::mem::take(&mut self.vote_dirty);
        Some(write::Write {
            sequence,
            vote: vote.then_some(self.vote),
            truncate: self.log.take_truncated(),
            snapshot: snapshot.then(|| self.log.snapshot().clone()),
            entries,
        })
    }

    /// Takes the entries that are committed and durable here. Waiting for the
    /// local disk keeps the caller's snapshots from getting ahead of the local
    /// log.
    fn take_committed(&mut self) -> Vec<entry::Entry> {
        let end = self.commit_index.min(self.log.durable());
        let mut committed = Vec::new();
        while self.last_emitted < end {
            self.last_emitted = self.last_emitted.next();
            committed.extend(self.log.get(self.last_emitted).cloned());
        }
        committed
    }

    /// Hands a received snapshot to the caller, now that it is durable.
    fn emit_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        let index = snapshot.meta.position.index;
        self.log.mark_durable(index);
        if index > self.last_emitted {
            self.last_emitted = index;
            self.installed = Some(snapshot);
        }
    }

    fn require_leader(&self) -> Result<(), refusal::Refusal> {
        let status = self.status();
        if status.role == role::Role::Leader {
            return Ok(());
        }
        Err(refusal::Refusal::NotLeader(status.leader))
    }
}
