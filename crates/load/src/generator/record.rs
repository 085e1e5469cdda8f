//! What is kept of each attempt.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// Result code, on refusals.
        code: Option<u16>,
        /// What the refusal says about execution.
        ran: Option<Ran>,
    },
    /// The connection failed before a whole answer came.
    Disconnected,
    /// No connection could be opened.
    Unreachable,
    /// No answer came in time.
    TimedOut,
    /// The answer belongs to another request, or is not whole.
    Mismatched,
}

/// What an answer says about execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// Not run.
    No,
    /// Run.
    Yes,
    /// Not known.
    Unknown,
}

/// One request, named by the index of its team and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// Index of the team in the plan.
    pub team: usize,
    /// Number of the request within the team, from 0.
    pub sequence: u64,
}

/// One attempt; all times are since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub id: Id,
    /// 0 for the first attempt.
    pub attempt: u32,
    /// Whether no resend follows.
    pub last: bool,
    /// Index of the entry address.
    pub entry: usize,
    /// Moment at which the request should have been sent first.
    pub intended: Duration,
    /// Moment at which this attempt was sent.
    pub sent: Duration,
    /// Moment at which it ended.
    pub ended: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

impl Record {
    /// Whether the request was served.
    #[must_use]
    pub const fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status, .. } if status >= 200 && status < 300)
    }

    /// The result code of a refusal.
    #[must_use]
    pub const fn code(&self) -> Option<u16> {
        match self.outcome {
            Outcome::Answered { code, .. } => code,
            _ => None,
        }
    }

    /// What the answer says about execution.
    #[must_use]
    pub const fn ran(&self) -> Option<Ran> {
        match self.outcome {
            Outcome::Answered { ran, .. } => ran,
            _ => None,
        }
    }

    /// Time from the intended moment to the end.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }
}

/// Text of the request id and of the idempotency key of a request.
#[must_use]
pub fn request_id(seed: u64, id: Id) -> String {
    format!("{seed}-{}-{}", id.team, id.sequence)
}
