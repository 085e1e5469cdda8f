//! Comparison of a node with its record in the catalog.

/// Whether the catalog's record of a node is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// This incarnation of the node has not joined.
    Absent,
    /// It has joined, but the catalog holds other targets than it announces.
    Outdated,
    /// It has joined, and the catalog holds the targets that it announces.
    Current,
}
