//! Refusals, before they are encoded for a caller or another node.

use std::time::Duration;

use masticarch_model::{code, name, ran};
use masticarch_wire::http::connection;

/// Why a request gets no answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code, with its number, reason and status.
    pub code: code::Code,
    /// Whether the request ran. It differs from the code's default only where more
    /// is known, for example that nothing was sent.
    pub ran: ran::Ran,
    /// One sentence for the reader of the answer, without secrets.
    pub detail: Box<str>,
    /// Time after which another try may succeed.
    pub retry_after: Option<Duration>,
    /// Team whose rate limit refused the request; for the log only.
    pub team: Option<name::Name>,
    /// Node of the last attempt; for the log only.
    pub node: Option<name::Name>,
}

impl Refusal {
    /// A refusal whose `ran` is the default of its code.
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
