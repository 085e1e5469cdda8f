//! What a target's answer means.

/// What a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The target ran the request, and this is its answer.
    Ran,
    /// The target states that it did not run the request.
    NotRun,
    /// The answer belongs to another request; the right one may follow.
    Mismatched,
}
