//! Summary that admission adds to an answer or a refusal.

/// Use of retry credit by a request, and load of its target, as sent to the entry node
/// with an answer or a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Retry credit that the call tree of the request has left.
    pub credit: u8,
    /// Executions in the call tree; `None` when the number is unknown.
    pub executions: Option<u32>,
    /// Highest rank number that the target admits; requests of lower priority, which
    /// have a greater rank number, are shed.
    pub overload: u8,
    /// Current concurrency limit of the target.
    pub limit: u32,
    /// Requests in flight at the target, or its limit while its rate limit lets no request
    /// pass.
    pub in_flight: u32,
    /// Requests per second that the target states as its limit.
    pub rate_limit: Option<f64>,
    /// Whether the answer is an error that is due to a failed call of the target.
    pub call_failed: bool,
}
