//! Refusals, before they are encoded for a caller or another node.

use std::time::Duration;

use masticarch_model::{code, name, ran};
use masticarch_wire::http::connection;

/// Why a request is not answered by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: code::Code,
    /// Whether the work ran; differs from the code's default only where the
    /// refusing part knows more.
    pub ran: ran::Ran,
    /// One sentence for the reader of the answer, without secrets.
    pub detail: Box<str>,
    /// When another try may succeed.
    pub retry_after: Option<Duration>,
    /// Team whose rate it concerns; for the log only.
    pub team: Option<name::Name>,
    /// Node of the last attempt; for the log only.
    pub node: Option<name::Name>,
}

impl Refusal {
    /// A refusal with the code's own statement of whether the work ran.
    #[must_use]
    pub fn new(code: code::Code, detail: impl Into<Box<str>>) -> Self {
        Self {
            code,
            ran: code.ran(),
            detail: detail.into(),
            retry_after: None,
            team: None,
            node: None,
        }
    }

    /// The refusal of a node whose services have stopped.
    #[must_use]
    pub fn draining() -> Self {
        Self::new(code::Code::Draining, "the node is shutting down")
    }
}

impl From<&connection::Failure> for Refusal {
    fn from(failure: &connection::Failure) -> Self {
        let code = failure.fault.answer_code();
        Self {
            ran: if failure.sent {
                code.ran()
            } else {
                ran::Ran::No
            },
            ..Self::new(code, failure.fault.to_string())
        }
    }
}
