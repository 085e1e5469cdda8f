//! What an entry carries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::membership;

/// What an entry of the log carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader; once it is committed, so is all before it.
    Empty,
    /// A command of the caller, opaque to this crate. Copies of an entry share it.
    Command(Arc<[u8]>),
    /// The members of the group from this entry on.
    Members(membership::Membership),
}

impl Payload {
    /// Approximate size in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Members(membership) => membership.len() * 32,
        }
    }
}
