//! Confirmations of leadership.

use crate::index;

/// Identifies one request to confirm that this member leads. An id is not
/// reused before the member restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

/// Confirms that this member was still the leader after the request, by the
/// read index rule of Raft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The confirmed request.
    pub id: Id,
    /// A read sees every earlier acknowledged change once the state includes
    /// this index.
    pub index: index::Index,
}
