//! What the caller must carry out.

use crate::{confirmation, entry, message, snapshot, status, write};

/// What the caller must carry out after some inputs.
///
/// Messages that promise durability are held back until the write they depend
/// on is reported, so all of `messages` may be sent at once.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// State to persist. Writes take effect in the order of their sequence
    /// numbers.
    pub write: Option<write::Write>,
    /// Messages to send. They may be lost, repeated, delayed and reordered on
    /// the way.
    pub messages: Vec<message::Message>,
    /// Snapshot that replaces the caller's state, before `committed` is applied.
    pub installed: Option<snapshot::Snapshot>,
    /// Entries to apply, in order and exactly once.
    pub committed: Vec<entry::Entry>,
    /// Confirmations of leadership that were requested earlier.
    pub confirmed: Vec<confirmation::Confirmation>,
    /// Requests for a confirmation that can no longer be met, because this
    /// member has stepped down.
    pub refused: Vec<confirmation::Id>,
    /// The status, if it has changed since the last effects.
    pub status: Option<status::Status>,
}
