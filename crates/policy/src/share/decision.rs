//! What became of a request under a team's rate.

/// What became of a request under a team's rate.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// It is within the rate.
    Pass(T),
    /// It waits for a token.
    Wait,
    /// No token came in time.
    Refuse(T),
}
