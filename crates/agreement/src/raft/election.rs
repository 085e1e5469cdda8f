//! Pre-vote and vote.

use masticarch_model::member;

use super::Raft;
use crate::{leader, message, outbox, payload, position, random, state, tally, term};

impl<R: random::Random> Raft<R> {
    /// Asks whether an election could succeed, without changing the term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.log.membership().is_voter(self.id) {
            self.become_follower(None);
            return;
        }
        let mut tally = tally::Tally::default();
        tally.grant(self.id);
        self.state = state::State::PreCandidate(tally);
        let last = self.log.last();
        self.for_other_voters(|raft, to| raft.send(to, message::Body::PreVote { last }));
        self.finish_pre_vote();
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: member::Id,
        term: term::Term,
        last: position::Position,
    ) {
        let asked_term = term.next();
        let granted = asked_term > self.vote.term && last >= self.log.last() && !self.has_leader();
        self.send(
            from,
            message::Body::PreVoteReply {
                asked_term,
                granted,
            },
        );
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: member::Id,
        asked_term: term::Term,
        granted: bool,
    ) {
        if !granted || asked_term != self.vote.term.next() {
            return;
        }
        if let state::State::PreCandidate(tally) = &mut self.state {
            tally.grant(from);
            self.finish_pre_vote();
        }
    }

    pub(super) fn on_vote(&mut self, from: member::Id, last: position::Position) {
        let can_vote = self
            .vote
            .candidate
            .is_none_or(|candidate| candidate == from);
        let granted = can_vote && last >= self.log.last();
        if granted && self.vote.candidate.is_none() {
            self.set_vote(self.vote.term, Some(from));
        }
        if granted {
            self.reset_election_timer();
        }
        self.send_durable(from, message::Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: member::Id, granted: bool) {
        if let state::State::Candidate(tally) = &mut self.state
            && granted
        {
            tally.grant(from);
            self.finish_vote();
        }
    }

    /// Counts this member's vote for itself, now that it is durable.
    pub(super) fn count_own_vote(&mut self, term: term::Term) {
        if term != self.vote.term {
            return;
        }
        if let state::State::Candidate(tally) = &mut self.state {
            tally.grant(self.id);
            self.finish_vote();
        }
    }

    /// Whether this member leads, or a leader was heard from within the shortest
    /// election timeout, so that no election is needed.
    fn has_leader(&self) -> bool {
        let min_silence = self.options.election_timeout_min;
        let recent = self
            .last_heard
            .is_some_and(|last_heard| self.now.saturating_sub(last_heard) < min_silence);
        recent || matches!(self.state, state::State::Leader(_))
    }

    /// Starts the election once the pre-vote is won.
    fn finish_pre_vote(&mut self) {
        if let state::State::PreCandidate(tally) = &self.state
            && tally.is_won(self.log.membership())
        {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.set_vote(self.vote.term.next(), Some(self.id));
        self.state = state::State::Candidate(tally::Tally::default());
        self.reset_election_timer();
        self.outbox.defer(outbox::Deferred::OwnVote(self.vote.term));
        let last = self.log.last();
        self.for_other_voters(|raft, to| raft.send_durable(to, message::Body::Vote { last }));
    }

    /// Becomes the leader once the election is won.
    fn finish_vote(&mut self) {
        if let state::State::Candidate(tally) = &self.state
            && tally.is_won(self.log.membership())
        {
            self.start_leading();
        }
    }

    /// Becomes the leader. The empty entry lets it commit the entries of earlier
    /// leaders, which Raft allows only together with an entry of its own term.
    fn start_leading(&mut self) {
        let leader = leader::Leader::new(self.id, &self.log, self.now);
        self.state = state::State::Leader(leader);
        self.assembly = None;
        self.append_entry(payload::Payload::Empty);
    }

    fn for_other_voters(&mut self, mut send: impl FnMut(&mut Self, member::Id)) {
        let own_id = self.id;
        let voters: Vec<_> = self.log.membership().voters().collect();
        for to in voters.into_iter().filter(|id| *id != own_id) {
            send(self, to);
        }
    }
}
