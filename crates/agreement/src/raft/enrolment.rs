//! Taking in a member that asks to take part.

use std::time::Duration;

use masticarch_model::member;

use super::Raft;
use crate::{change, position, random, refusal};

impl<R: random::Random> Raft<R> {
    /// Takes the next step towards a vote for a member that asks to take part,
    /// if this member leads. The member asks again until it votes. There are up
    /// to `seats` voters; where all seats are taken, one that has been silent
    /// for `silence` gives way.
    ///
    /// An earlier member at the same address has lost its disk: it is removed,
    /// because it cannot remember its votes.
    ///
    /// # Errors
    /// As [`Raft::propose_change`].
    pub fn enrol(
        &mut self,
        newcomer: &member::Member,
        seats: usize,
        silence: Duration,
    ) -> Result<Option<position::Position>, refusal::Refusal> {
        self.require_leader()?;
        let Some(step) = self.next_step(newcomer, seats, silence)? else {
            return Ok(None);
        };
        self.propose_change(step).map(Some)
    }

    fn next_step(
        &mut self,
        newcomer: &member::Member,
        seats: usize,
        silence: Duration,
    ) -> Result<Option<change::Change>, refusal::Refusal> {
        let membership = self.log.membership();
        let emptied = membership
            .iter()
            .find(|member| member.address == newcomer.address && member.id != newcomer.id);
        if let Some(emptied) = emptied {
            return Ok(Some(change::Change::Remove(emptied.id)));
        }
        match membership.find(newcomer.id) {
            None => return Ok(Some(change::Change::AddLearner(newcomer.clone()))),
            Some(member) if member.voter => return Ok(None),
            Some(_) => {}
        }
        let has_seat = membership.voters().count() < seats;
        self.require_caught_up(newcomer.id)?;
        if has_seat {
            return Ok(Some(change::Change::Promote(newcomer.id)));
        }
        Ok(self.silent_voter(silence).map(change::Change::Remove))
    }

    /// The voter that has been silent for longest, if that is long enough.
    fn silent_voter(&self, silence: Duration) -> Option<member::Id> {
        let membership = self.log.membership();
        let peers = self.peers().into_iter();
        let longest = peers
            .filter(|peer| membership.is_voter(peer.id) && peer.silent >= silence)
            .max_by_key(|peer| peer.silent)?;
        Some(longest.id)
    }
}
