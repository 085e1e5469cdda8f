//! Why an input is refused.

use masticarch_model::member;
use quick_error::quick_error;

quick_error! {
    /// Why a proposal, a confirmation or a change of members is refused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// This member does not lead; the leader, if known.
        NotLeader(leader: Option<member::Id>) {
            display("this member is not the leader")
        }
        /// Too many proposals wait for a majority.
        Busy {
            display("too many proposals wait for a majority")
        }
        /// The leader has not committed an entry of its own term yet.
        NotReady {
            display("the leader has not committed an entry of its term yet")
        }
        /// An earlier change of members is not committed yet.
        ChangePending {
            display("an earlier change of members is not committed yet")
        }
        /// The learner is too far behind to be given a vote.
        NotCaughtUp {
            display("the learner has not caught up")
        }
        /// No member has this id.
        UnknownMember {
            display("no member has this id")
        }
        /// A member with this id exists.
        DuplicateMember {
            display("a member with this id exists")
        }
        /// The last voter cannot be removed.
        LastVoter {
            display("the last voter cannot be removed")
        }
    }
}
