//! What the caller must carry out.

use crate::{confirmation, entry, message, snapshot, status, write};

/// What the caller must carry out after some inputs.
///
/// Messages that promise durability are held back until the write they depend
/// on is reported, so all of `messages` may be sent at once.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// To persist, in the order of the sequence numbers.
    pub write: Option<write::Write>,
    /// To send. Messages may be lost, repeated, delayed and reordered.
    pub messages: Vec<message::Message>,
    /// Replaces the caller's state, before `committed` is applied.
    pub installed: Option<snapshot::Snapshot>,
    /// To apply, in order and exactly once.
    pub committed: Vec<entry::Entry>,
    /// Confirmed tickets.
    pub confirmed: Vec<confirmation::Confirmation>,
    /// Tickets that can no longer be confirmed.
    pub refused: Vec<confirmation::Id>,
    /// The new role, term or leader.
    pub status: Option<status::Status>,
}
