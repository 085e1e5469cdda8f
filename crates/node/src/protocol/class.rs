//! Class of an answer of a target.

/// Whether an answer belongs to the request, and whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The target ran the request, and this is its answer.
    Ran,
    /// The target states that it did not run the request.
    NotRun,
    /// The answer belongs to another request; the one to this request may follow.
    Mismatched,
}
