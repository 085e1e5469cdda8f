//! Heartbeats, replication and commits of a leader.

use masticarch_model::member;

use super::Raft;
use crate::{
    confirmation, entry, index, leader, message, payload, position, random, refusal, state,
};

impl<R: random::Random> Raft<R> {
    /// Sends heartbeats, and steps down when no majority was heard from or the
    /// disk has stalled.
    pub(super) fn tick_leader(&mut self) {
        let max_silence = self.options.election_timeout_max;
        let stalled = self.outbox.is_stalled(self.now, self.options.write_timeout);
        let state::State::Leader(leader) = &mut self.state else {
            return;
        };
        if stalled || !leader.has_quorum(self.log.membership(), self.now, max_silence) {
            self.become_follower(None);
            return;
        }
        if self.now >= leader.heartbeat_due {
            leader.heartbeat_due = self.now + self.options.heartbeat_interval;
            leader.retry();
            let outgoing = leader.start_round(self.commit_index);
            self.send_all(outgoing);
        }
    }

    /// Handles the answer of a member to a message of this leader.
    pub(super) fn on_reply(&mut self, from: member::Id, body: &message::Body) {
        let now = self.now;
        let Some(leader) = self.state.leader_mut() else {
            return;
        };
        let Some(member) = leader.find_mut(from) else {
            return;
        };
        member.last_heard = now;
        match *body {
            message::Body::Appended { matched } => member.appended(matched),
            message::Body::Rejected { previous, last } => member.rejected(previous, last),
            message::Body::HeartbeatReply { round } => member.round = member.round.max(round),
            message::Body::ChunkReply { index, received } => member.received(index, received),
            _ => {}
        }
    }

    /// Does what follows from the inputs of a leader: raises the commit index,
    /// finishes and starts rounds, sends messages to the members, and steps down
    /// after its own removal.
    pub(super) fn advance_leader(&mut self) {
        let state::State::Leader(leader) = &mut self.state else {
            return;
        };
        let majority_index = leader.majority_index(&self.log);
        let own_term = self.log.term_at(majority_index) == Some(self.vote.term);
        if own_term && majority_index > self.commit_index {
            self.commit_index = majority_index;
        }
        leader.finish_rounds(self.log.membership());
        if leader.rounds.is_due() {
            let outgoing = leader.start_round(self.commit_index);
            self.send_all(outgoing);
        }
        self.replicate();
        self.step_down_if_removed();
    }

    /// Takes the confirmations that a majority has answered. They wait until the
    /// leader has committed an entry of its own term, because before that its
    /// commit index may lag behind what was acknowledged by its predecessor.
    pub(super) fn take_confirmed(&mut self) -> Vec<confirmation::Confirmation> {
        let index = self.commit_index;
        if self.require_commit_in_term().is_err() {
            return Vec::new();
        }
        let Some(leader) = self.state.leader_mut() else {
            return Vec::new();
        };
        leader.finish_rounds(self.log.membership());
        let finished = leader.rounds.take_finished().into_iter();
        finished
            .map(|id| confirmation::Confirmation { id, index })
            .collect()
    }

    /// Appends an entry of this leader's term.
    pub(super) fn append_entry(&mut self, payload: payload::Payload) -> position::Position {
        let position = position::Position {
            term: self.vote.term,
            index: self.log.last().index.next(),
        };
        let members = matches!(payload, payload::Payload::Members(_));
        self.log.push(entry::Entry { position, payload });
        self.outbox.mark_dirty();
        if let state::State::Leader(leader) = &mut self.state
            && members
        {
            leader.update_members(&self.log, self.now);
        }
        position
    }

    /// Refuses until an entry of this leader's term is committed. Without this
    /// rule two leaders could change the members by one each and end up with
    /// majorities that do not overlap.
    pub(super) fn require_commit_in_term(&self) -> Result<(), refusal::Refusal> {
        if self.log.term_at(self.commit_index) == Some(self.vote.term) {
            return Ok(());
        }
        Err(refusal::Refusal::NotReady)
    }

    pub(super) fn require_caught_up(&mut self, id: member::Id) -> Result<(), refusal::Refusal> {
        let last = self.log.last().index;
        let lag = self.options.max_promotion_lag;
        let leader = self.state.leader_mut();
        let member = leader.and_then(|leader| leader.find_mut(id));
        let member = member.ok_or(refusal::Refusal::UnknownMember)?;
        let reached = index::Index(member.matched.0 + lag);
        if member.matched > index::Index(0) && reached >= last {
            return Ok(());
        }
        Err(refusal::Refusal::NotCaughtUp)
    }

    fn replicate(&mut self) {
        if let state::State::Leader(leader) = &mut self.state {
            let outgoing = leader.replicate(&self.log, self.commit_index, &self.options, self.now);
            self.send_all(outgoing);
        }
    }

    /// Steps down once this leader's own removal is committed.
    fn step_down_if_removed(&mut self) {
        let settled = self.log.membership_index() <= self.commit_index;
        if settled && !self.log.membership().is_voter(self.id) {
            self.become_follower(None);
        }
    }

    fn send_all(&mut self, outgoing: Vec<leader::Outgoing>) {
        for leader::Outgoing { to, body } in outgoing {
            self.send(to, body);
        }
    }
}
