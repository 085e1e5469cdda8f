//! Report on one attempt.

use std::time::Duration;

use masticarch_model::{code, ran};

/// How one attempt ended, as reported to the gate.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Why no whole answer of the target arrived; `None` when it did.
    pub failure: Option<code::Code>,
    /// HTTP status of the target's answer; `None` without a whole answer.
    pub status: Option<u16>,
    /// Whether the attempt ran.
    pub ran: ran::Ran,
    /// Time from sending the request to the whole answer or the failure.
    pub latency: Duration,
    /// Retry credit that the attempt returned; 0 when the answer was lost.
    pub credit: u8,
    /// Executions in the call tree of the attempt; `None` when their number is unknown.
    pub executions: Option<u32>,
    /// Rank of the lowest priority that the target admitted at the end of the attempt.
    pub overload: Option<u8>,
    /// Concurrency limit of the target and its requests in flight, in this order.
    pub limit: Option<(u32, u32)>,
    /// Rate limit that the target states, in requests per second; known only along with
    /// `limit`.
    pub rate_limit: Option<f64>,
    /// Run of the target that has stated in its answer that it is leaving.
    pub leaving: Option<Box<str>>,
    /// Whether the answer is an error that is due to a failed call of the target.
    pub call_failed: bool,
}
