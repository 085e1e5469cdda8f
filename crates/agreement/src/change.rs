//! Changes of the membership, one member at a time.

use masticarch_model::member;
use serde::{Deserialize, Serialize};

/// A change of one member. Majorities before and after it always overlap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member that receives the log without a vote.
    AddLearner(member::Member),
    /// Gives a learner that has caught up a vote.
    Promote(member::Id),
    /// Removes a member.
    Remove(member::Id),
}
