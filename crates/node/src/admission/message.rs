//! Messages to admission.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::reply;
use masticarch_model::target;
use masticarch_policy::outlier::breaker;

use crate::admission::{entry, key, permit, summary};
use crate::protocol::notice;
use crate::{origin, refusal};

/// How a call ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer of the target arrived after this time.
    Answered(Duration),
    /// The whole answer of the target arrived after this time, with a server error.
    Errored(Duration),
    /// The target stated after this time that it has not run the request.
    Refused(Duration),
    /// The exchange with the target failed after this time.
    Failed(Duration),
    /// The caller disconnected, or the deadline passed, after this time.
    Cancelled(Duration),
    /// The request was not sent to the target.
    NotRun,
    /// The request was not sent, because the target accepts no connection.
    Unreachable,
}

impl End {
    /// Time from sending the request to its end; zero if it was not sent.
    #[must_use]
    pub const fn duration(self) -> Duration {
        match self {
            Self::Answered(time)
            | Self::Errored(time)
            | Self::Refused(time)
            | Self::Failed(time)
            | Self::Cancelled(time) => time,
            Self::NotRun | Self::Unreachable => Duration::ZERO,
        }
    }

    /// What the end says about the target.
    #[must_use]
    pub const fn outcome(self) -> breaker::Outcome {
        match self {
            Self::Answered(_) => breaker::Outcome::Success,
            Self::Errored(_) => breaker::Outcome::Error,
            Self::Failed(_) | Self::Unreachable => breaker::Outcome::Failure,
            Self::Refused(_) | Self::Cancelled(_) | Self::NotRun => breaker::Outcome::Neutral,
        }
    }
}

/// A refusal with the summary for the entry node.
pub type Denial = (refusal::Refusal, summary::Summary);

/// Messages to admission.
#[derive(Debug)]
pub enum Message {
    /// Asks for a permit to run a request. The reply is sent when the request leaves the
    /// queue; a request whose task has been dropped is skipped there.
    Acquire(
        Box<entry::Entry>,
        reply::Reply<Result<permit::Permit, Denial>>,
    ),
    /// Ends a running call and releases its permit; replies with the summary for the
    /// entry node. The notice is what the target stated in its answer; `None` without
    /// an answer.
    Release(
        key::CallKey,
        End,
        Option<notice::Notice>,
        reply::Reply<summary::Summary>,
    ),
    /// Begins a sub-call of the running call that a context handle names. Lends it
    /// retry credit and replies with what it inherits; `None` when no such call runs.
    BeginSubCall(Box<str>, reply::Reply<Option<origin::Parent>>),
    /// Ends a sub-call of a running call, with the retry credit that it has left and the
    /// executions in its call tree; `None` when their number is unknown.
    EndSubCall(key::CallKey, u8, Option<u32>),
    /// A call that a target beside this node made has failed.
    CallFailed,
    /// A target beside this node was announced or changed, with its address, or was
    /// removed (`None`).
    Target(target::Target, Option<SocketAddr>),
    /// The node ends at this moment. Requests that it still takes must end before.
    ShutDown(Instant),
    /// Reads the current state of each target for operators.
    Status(reply::Reply<Vec<(target::Target, summary::Summary)>>),
}
