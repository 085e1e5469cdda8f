//! The members of the control group.

use masticarch_model::member;
use serde::{Deserialize, Serialize};

use crate::{change, refusal};

/// The members of the control group at some index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership {
    members: Vec<member::Member>,
}

impl Membership {
    /// Makes a membership from a list of members.
    #[must_use]
    pub fn new(members: Vec<member::Member>) -> Self {
        Self { members }
    }

    /// All members, learners included.
    pub fn iter(&self) -> impl Iterator<Item = &member::Member> {
        self.members.iter()
    }

    /// Ids of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = member::Id> {
        let voters = self.members.iter().filter(|member| member.voter);
        voters.map(|member| member.id)
    }

    /// The member with this id.
    #[must_use]
    pub fn find(&self, id: member::Id) -> Option<&member::Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this id is that of a voter.
    #[must_use]
    pub fn is_voter(&self, id: member::Id) -> bool {
        self.find(id).is_some_and(|member| member.voter)
    }

    /// Number of members, learners included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member, as before a learner has received the log.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether `holds` is true for a majority of the voters.
    pub fn is_majority(&self, holds: impl Fn(member::Id) -> bool) -> bool {
        let count = self.voters().filter(|id| holds(*id)).count();
        count * 2 > self.voters().count()
    }

    /// The largest value that a majority of the voters has reached.
    pub fn majority_value<V: Ord + Default>(&self, value: impl Fn(member::Id) -> V) -> V {
        let mut values: Vec<V> = self.voters().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values
            .into_iter()
            .nth(self.voters().count() / 2)
            .unwrap_or_default()
    }

    /// The membership after a change.
    ///
    /// # Errors
    /// [`refusal::Refusal::DuplicateMember`], [`refusal::Refusal::UnknownMember`]
    /// or [`refusal::Refusal::LastVoter`].
    pub fn with(&self, change: change::Change) -> Result<Self, refusal::Refusal> {
        match change {
            change::Change::AddLearner(member) => self.with_learner(&member),
            change::Change::Promote(id) => self.with_voter(id),
            change::Change::Remove(id) => self.without(id),
        }
    }

    fn with_learner(&self, member: &member::Member) -> Result<Self, refusal::Refusal> {
        if self.find(member.id).is_some() {
            return Err(refusal::Refusal::DuplicateMember);
        }
        let mut members = self.members.clone();
        members.push(member::Member {
            voter: false,
            ..member.clone()
        });
        Ok(Self { members })
    }

    fn with_voter(&self, id: member::Id) -> Result<Self, refusal::Refusal> {
        let mut members = self.members.clone();
        let member = members.iter_mut().find(|member| member.id == id);
        member.ok_or(refusal::Refusal::UnknownMember)?.voter = true;
        Ok(Self { members })
    }

    fn without(&self, id: member::Id) -> Result<Self, refusal::Refusal> {
        let member = self.find(id).ok_or(refusal::Refusal::UnknownMember)?;
        if member.voter && self.voters().count() == 1 {
            return Err(refusal::Refusal::LastVoter);
        }
        let mut members = self.members.clone();
        members.retain(|member| member.id != id);
        Ok(Self { members })
    }
}
