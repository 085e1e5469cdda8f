//! Votes of an election.

use masticarch_model::member;

use crate::membership;

/// The members that granted their vote in one election.
#[derive(Debug, Default)]
pub struct Tally {
    granted: Vec<member::Id>,
}

impl Tally {
    /// Counts a vote; a repeated one counts once.
    pub fn grant(&mut self, id: member::Id) {
        if !self.granted.contains(&id) {
            self.granted.push(id);
        }
    }

    /// Whether a majority of the voters has granted its vote.
    pub fn is_won(&self, membership: &membership::Membership) -> bool {
        membership.is_majority(|id| self.granted.contains(&id))
    }
}
