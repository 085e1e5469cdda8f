//! Records of attempts.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer was received.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Result code of masticarch, present on refusals.
        code: Option<u16>,
        /// Whether the answer says that the request ran; absent when it says
        /// nothing.
        ran: Option<Ran>,
    },
    /// The connection failed before a complete answer was received.
    Disconnected,
    /// No connection could be opened.
    Unreachable,
    /// No complete answer was received before the timeout.
    TimedOut,
    /// The body of a successful answer differs from that of the request.
    Mismatched,
}

/// Whether a request ran, as its answer states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// It was not run.
    No,
    /// It was run.
    Yes,
    /// The node does not know.
    Unknown,
}

/// Identifies a request within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// Index of the team in the plan.
    pub team: usize,
    /// Number of the request within the team, from 0.
    pub sequence: u64,
}

/// Record of one attempt. All times count from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Request of which this is an attempt.
    pub id: Id,
    /// Number of resends before this attempt; 0 for the first attempt.
    pub attempt: u32,
    /// Whether this is the last attempt of its request.
    pub last: bool,
    /// Index of the entry address.
    pub entry: usize,
    /// Arrival time of the request, at which its first attempt was due.
    pub intended: Duration,
    /// Time at which this attempt was sent.
    pub sent: Duration,
    /// Time at which this attempt ended.
    pub ended: Duration,
    /// How this attempt ended.
    pub outcome: Outcome,
}

impl Record {
    /// Whether the request was answered with a success status (2xx).
    #[must_use]
    pub const fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status, .. } if status >= 200 && status < 300)
    }

    /// Result code of the answer; absent without an answer or without a code.
    #[must_use]
    pub const fn code(&self) -> Option<u16> {
        match self.outcome {
            Outcome::Answered { code, .. } => code,
            _ => None,
        }
    }

    /// Whether the answer says that the request ran; absent without an answer or when
    /// the answer says nothing.
    #[must_use]
    pub const fn ran(&self) -> Option<Ran> {
        match self.outcome {
            Outcome::Answered { ran, .. } => ran,
            _ => None,
        }
    }

    /// Time from the arrival of the request to the end of this attempt, so that a
    /// delayed sending counts as latency.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }
}

/// Request id that a request carries; its idempotency key is the same text.
#[must_use]
pub fn request_id(seed: u64, id: Id) -> String {
    format!("{seed}-{}-{}", id.team, id.sequence)
}
