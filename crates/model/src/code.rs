//! Numbered result codes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ran;

/// A numbered result. The ranges are 1000 to 1099 for requests that a node
/// decides to refuse, 1100 to 1199 for faults of HTTP messages and targets, 2000
/// to 2999 for checks of the configuration, 3000 to 3999 for the control group,
/// and 4000 to 4999 for settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Code {
    /// The route needs a key and the request carries none.
    NoKey,
    /// No key has this id, or the secret does not match.
    UnknownKey,
    /// The key's team may not use the route.
    WrongTeam,
    /// No route matches the path.
    NoRoute,
    /// The team's rate and burst are used up.
    OverRate,
    /// The service sheds requests of this priority.
    Overloaded,
    /// No usable target serves the route.
    NoTarget,
    /// The deadline passed, or would pass, before the work could start.
    DeadlineExceeded,
    /// The node or the target drains and takes no new requests.
    Draining,
    /// The node cannot be sure that its configuration and its share of the rate are current.
    NotCurrent,
    /// The retry credit of the call tree is used up.
    RetryBudget,
    /// An earlier attempt at the same request still runs; this one did not run.
    StillRunning,
    /// It cannot be known whether an earlier attempt ran.
    OutcomeUnknown,
    /// The claim of a non-idempotent request could not be committed.
    ClaimUnavailable,
    /// The key has been withdrawn.
    KeyWithdrawn,
    /// The home node, which keeps the ledger entry of the request id, did not respond.
    LedgerUnavailable,
    /// The idempotency key was used with another request.
    IdempotencyMismatch,
    /// The call context does not belong to a call that is still running.
    BadContext,
    /// The request ran earlier; its answer was too large to keep.
    AnswerNotKept,
    /// The node's budget for buffered bodies is used up.
    BufferFull,
    /// Targets have crashed again and again while they ran the request.
    Quarantined,
    /// The target fails, and its node sends it nothing for a while.
    TargetEjected,
    /// The request is not valid HTTP/1.1.
    BadRequest,
    /// The request head exceeds its limits.
    HeadTooLarge,
    /// The request body exceeds its limit.
    BodyTooLarge,
    /// The request did not arrive in time.
    SlowSender,
    /// The request body ended early.
    BodyTruncated,
    /// The request has more than one header that states the length of its body.
    ConflictingLength,
    /// The target's answer ended early.
    AnswerTruncated,
    /// The target's answer exceeds the limit.
    AnswerTooLarge,
    /// The connection to the target failed after the request was sent.
    TargetFailed,
    /// The target did not answer before the deadline.
    TargetTimeout,
    /// The target refused the request without running it.
    TargetRefused,
    /// A field names an object that does not exist.
    DanglingName,
    /// Two objects of one kind have the same name.
    DuplicateName,
    /// The `below` references of priorities form a cycle.
    Cycle,
    /// A value lies outside its range.
    OutOfRange,
    /// A name has forbidden characters or a wrong length.
    BadName,
    /// The configuration has another version than expected.
    VersionConflict,
    /// Another object still refers to the object that is to be deleted.
    InUse,
    /// No object has this kind and name.
    NoSuchObject,
    /// This control process is not the leader.
    NotLeader,
    /// No majority of control processes responds.
    NoQuorum,
    /// The data directory cannot be written.
    StorageFailed,
    /// The credential is not accepted.
    BadCredential,
    /// No reply came in time; the change may or may not have been made.
    TimeoutOutcomeUnknown,
    /// The membership of the control group cannot be changed safely now.
    MemberChangeRefused,
    /// The settings file has faults.
    BadSettings,
}

/// The fixed attributes of a code.
struct Row {
    number: u16,
    reason: &'static str,
    status: u16,
    ran: ran::Ran,
}

const fn row(number: u16, reason: &'static str, status: u16, ran: ran::Ran) -> Row {
    Row {
        number,
        reason,
        status,
        ran,
    }
}

/// HTTP status of codes that are never sent in response to a caller's request.
const INTERNAL: u16 = 500;

impl Code {
    /// Every code, in the order of its numbers.
    pub const ALL: &[Self] = &[
        Self::NoKey,
        Self::UnknownKey,
        Self::WrongTeam,
        Self::NoRoute,
        Self::OverRate,
        Self::Overloaded,
        Self::NoTarget,
        Self::DeadlineExceeded,
        Self::Draining,
        Self::NotCurrent,
        Self::RetryBudget,
        Self::StillRunning,
        Self::OutcomeUnknown,
        Self::ClaimUnavailable,
        Self::KeyWithdrawn,
        Self::LedgerUnavailable,
        Self::IdempotencyMismatch,
        Self::BadContext,
        Self::AnswerNotKept,
        Self::BufferFull,
        Self::Quarantined,
        Self::TargetEjected,
        Self::BadRequest,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::SlowSender,
        Self::BodyTruncated,
        Self::ConflictingLength,
        Self::AnswerTruncated,
        Self::AnswerTooLarge,
        Self::TargetFailed,
        Self::TargetTimeout,
        Self::TargetRefused,
        Self::DanglingName,
        Self::DuplicateName,
        Self::Cycle,
        Self::OutOfRange,
        Self::BadName,
        Self::VersionConflict,
        Self::InUse,
        Self::NoSuchObject,
        Self::NotLeader,
        Self::NoQuorum,
        Self::StorageFailed,
        Self::BadCredential,
        Self::TimeoutOutcomeUnknown,
        Self::MemberChangeRefused,
        Self::BadSettings,
    ];

    const fn row(self) -> Row {
        match self {
            Self::NoKey => row(1001, "no_key", 401, ran::Ran::No),
            Self::UnknownKey => row(1002, "unknown_key", 401, ran::Ran::No),
            Self::WrongTeam => row(1003, "wrong_team", 403, ran::Ran::No),
            Self::NoRoute => row(1004, "no_route", 404, ran::Ran::No),
            Self::OverRate => row(1005, "over_rate", 429, ran::Ran::No),
            Self::Overloaded => row(1006, "overloaded", 503, ran::Ran::No),
            Self::NoTarget => row(1007, "no_target", 503, ran::Ran::No),
            Self::DeadlineExceeded => row(1008, "deadline_exceeded", 504, ran::Ran::No),
            Self::Draining => row(1009, "draining", 503, ran::Ran::No),
            Self::NotCurrent => row(1010, "not_current", 503, ran::Ran::No),
            Self::RetryBudget => row(1011, "retry_budget", 503, ran::Ran::No),
            Self::StillRunning => row(1012, "still_running", 409, ran::Ran::Unknown),
            Self::OutcomeUnknown => row(1013, "outcome_unknown", 502, ran::Ran::Unknown),
            Self::ClaimUnavailable => row(1014, "claim_unavailable", 503, ran::Ran::No),
            Self::KeyWithdrawn => row(1015, "key_withdrawn", 401, ran::Ran::No),
            Self::LedgerUnavailable => row(1016, "ledger_unavailable", 503, ran::Ran::No),
            Self::IdempotencyMismatch => row(1017, "idempotency_mismatch", 422, ran::Ran::No),
            Self::BadContext => row(1018, "bad_context", 400, ran::Ran::No),
            Self::AnswerNotKept => row(1019, "answer_not_kept", 409, ran::Ran::Yes),
            Self::BufferFull => row(1020, "buffer_full", 503, ran::Ran::No),
            Self::Quarantined => row(1021, "quarantined", 503, ran::Ran::No),
            Self::TargetEjected => row(1022, "target_ejected", 503, ran::Ran::No),
            Self::BadRequest => row(1101, "bad_request", 400, ran::Ran::No),
            Self::HeadTooLarge => row(1102, "head_too_large", 431, ran::Ran::No),
            Self::BodyTooLarge => row(1103, "body_too_large", 413, ran::Ran::No),
            Self::SlowSender => row(1104, "slow_sender", 408, ran::Ran::No),
            Self::BodyTruncated => row(1105, "body_truncated", 400, ran::Ran::No),
            Self::ConflictingLength => row(1106, "conflicting_length", 400, ran::Ran::No),
            Self::AnswerTruncated => row(1107, "answer_truncated", 502, ran::Ran::Unknown),
            Self::AnswerTooLarge => row(1108, "answer_too_large", 502, ran::Ran::Yes),
            Self::TargetFailed => row(1109, "target_failed", 502, ran::Ran::Unknown),
            Self::TargetTimeout => row(1110, "target_timeout", 504, ran::Ran::Unknown),
            Self::TargetRefused => row(1111, "target_refused", 503, ran::Ran::No),
            Self::DanglingName => row(2001, "dangling_name", INTERNAL, ran::Ran::No),
            Self::DuplicateName => row(2002, "duplicate_name", INTERNAL, ran::Ran::No),
            Self::Cycle => row(2003, "cycle", INTERNAL, ran::Ran::No),
            Self::OutOfRange => row(2004, "out_of_range", INTERNAL, ran::Ran::No),
            Self::BadName => row(2005, "bad_name", INTERNAL, ran::Ran::No),
            Self::VersionConflict => row(2006, "version_conflict", INTERNAL, ran::Ran::No),
            Self::InUse => row(2007, "in_use", INTERNAL, ran::Ran::No),
            Self::NoSuchObject => row(2008, "no_such_object", INTERNAL, ran::Ran::No),
            Self::NotLeader => row(3001, "not_leader", INTERNAL, ran::Ran::No),
            Self::NoQuorum => row(3002, "no_quorum", INTERNAL, ran::Ran::No),
            Self::StorageFailed => row(3003, "storage_failed", INTERNAL, ran::Ran::No),
            Self::BadCredential => row(3004, "bad_credential", INTERNAL, ran::Ran::No),
            Self::TimeoutOutcomeUnknown => {
                row(3005, "timeout_outcome_unknown", INTERNAL, ran::Ran::No)
            }
            Self::MemberChangeRefused => row(3006, "member_change_refused", INTERNAL, ran::Ran::No),
            Self::BadSettings => row(4001, "bad_settings", INTERNAL, ran::Ran::No),
        }
    }

    /// The number, as shown to callers and operators.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.row().number
    }

    /// The reason in `snake_case`, as used in headers, bodies and metric labels.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        self.row().reason
    }

    /// The HTTP status that goes with the code.
    #[must_use]
    pub const fn status(self) -> u16 {
        self.row().status
    }

    /// Whether a request that is answered with this code was executed.
    #[must_use]
    pub const fn ran(self) -> ran::Ran {
        self.row().ran
    }

    /// Finds a code by its number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.reason())
    }
}
