//! Positions in the log.

use serde::{Deserialize, Serialize};

use crate::{index, term};

/// Term and index of an entry; together they identify it in the whole group.
///
/// The order (term first) is the rule by which Raft decides whose log is more
/// up to date, so the order of the fields matters.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which a leader appended the entry.
    pub term: term::Term,
    /// Index of the entry.
    pub index: index::Index,
}
