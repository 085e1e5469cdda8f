//! Decision of the rate limit on a request.

/// Decision of the rate limit on a request, which comes back unless it waits.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// The request got a token.
    Pass(T),
    /// The request waits for a token.
    Wait,
    /// No token was available in time, or too many requests wait.
    Refuse(T),
}
