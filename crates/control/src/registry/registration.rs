//! Registration of a node in the catalog.

/// State of a node's record in the catalog, compared with what the node announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// This incarnation of the node has not joined.
    Absent,
    /// It has joined, but the catalog holds other targets than it announces.
    Outdated,
    /// It has joined, and the catalog holds the targets that it announces.
    Current,
}
