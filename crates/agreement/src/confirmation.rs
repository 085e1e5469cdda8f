//! Tickets of leadership confirmations.

use crate::index;

/// Names one request for a confirmation of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

/// The leader was still the leader after the ticket was drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The ticket.
    pub id: Id,
    /// A read sees every earlier acknowledged change once the state includes
    /// this index.
    pub index: index::Index,
}
