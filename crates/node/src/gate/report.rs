//! How one attempt ended.

use std::time::Duration;

use masticarch_model::{code, ran};

/// How one attempt ended, as far as the gate needs to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// `None` when a whole answer of the target arrived, else the reason.
    pub failure: Option<code::Code>,
    /// HTTP status of the target's answer.
    pub status: Option<u16>,
    /// Whether the attempt ran.
    pub ran: ran::Ran,
    /// Time from sending to the whole answer or the failure.
    pub latency: Duration,
    /// Retry credit that came back; 0 when the answer was lost.
    pub credit: u8,
    /// Executions in the call tree below the attempt; `None` when unknown.
    pub executions: Option<u32>,
    /// Lowest priority rank that the target admits at present.
    pub overload: Option<u8>,
    /// Admission limit and requests in flight of the target.
    pub limit: Option<(u32, u32)>,
}
