//! Requests to join the group.

use std::time::Duration;

use masticarch_model::member;

use super::Raft;
use crate::{change, position, random, refusal};

impl<R: random::Random> Raft<R> {
    /// Proposes the next change that brings `joiner` closer to a vote, if this
    /// member leads. Returns `None` when there is nothing to propose:
    /// the member votes already, or the group has `max_voters` voters of which
    /// none may be removed. The member repeats its request until it votes.
    ///
    /// There are at most `max_voters` voters. When there are that many, the one
    /// that has been silent for longest is removed, if it has been silent for
    /// at least `min_silence`.
    ///
    /// An earlier member at the same address has lost its disk: it is removed,
    /// because it cannot remember its votes.
    ///
    /// # Errors
    /// As [`Raft::propose_change`].
    pub fn handle_join(
        &mut self,
        joiner: &member::Member,
        max_voters: usize,
        min_silence: Duration,
    ) -> Result<Option<position::Position>, refusal::Refusal> {
        self.require_leader()?;
        let Some(change) = self.next_change(joiner, max_voters, min_silence)? else {
            return Ok(None);
        };
        self.propose_change(change).map(Some)
    }

    fn next_change(
        &mut self,
        joiner: &member::Member,
        max_voters: usize,
        min_silence: Duration,
    ) -> Result<Option<change::Change>, refusal::Refusal> {
        let membership = self.log.membership();
        let predecessor = membership
            .iter()
            .find(|member| member.address == joiner.address && member.id != joiner.id);
        if let Some(predecessor) = predecessor {
            return Ok(Some(change::Change::Remove(predecessor.id)));
        }
        match membership.find(joiner.id) {
            None => return Ok(Some(change::Change::AddLearner(joiner.clone()))),
            Some(member) if member.voter => return Ok(None),
            Some(_) => {}
        }
        let has_vacancy = membership.voters().count() < max_voters;
        self.require_caught_up(joiner.id)?;
        if has_vacancy {
            return Ok(Some(change::Change::Promote(joiner.id)));
        }
        Ok(self.silent_voter(min_silence).map(change::Change::Remove))
    }

    /// The voter that has been silent for longest, if for at least `min_silence`.
    fn silent_voter(&self, min_silence: Duration) -> Option<member::Id> {
        let membership = self.log.membership();
        let peers = self.peers().into_iter();
        let longest = peers
            .filter(|peer| membership.is_voter(peer.id) && peer.silent >= min_silence)
            .max_by_key(|peer| peer.silent)?;
        Some(longest.id)
    }
}
