//! Whether the catalog knows a node as it is.

/// What is missing in the catalog about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// This incarnation of the node has not joined.
    Absent,
    /// It has joined, and its targets differ from the announced ones.
    Outdated,
    /// Nothing.
    Current,
}
