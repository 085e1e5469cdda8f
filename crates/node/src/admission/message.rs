//! Messages to admission.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::reply;
use masticarch_model::target;

use crate::admission::{entry, key, permit, summary};
use crate::{origin, refusal};

/// How a call ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered whole after this time.
    Answered(Duration),
    /// The target failed after this time.
    Failed(Duration),
    /// The caller went away, or the deadline passed, after this time.
    Cancelled(Duration),
    /// The request was not sent to the target.
    NotRun,
}

/// A refusal with what goes back to the entry node.
pub type Denial = (refusal::Refusal, summary::Summary);

/// Messages to admission.
#[derive(Debug)]
pub enum Message {
    /// Asks to run a request; the reply waits in the queue. An asker that goes
    /// away leaves the queue.
    Acquire(
        Box<entry::Entry>,
        reply::Reply<Result<permit::Permit, Denial>>,
    ),
    /// Ends a running call.
    Release(key::CallKey, End, reply::Reply<summary::Summary>),
    /// Finds the running call behind a context header and lends credit to a
    /// sub-call; `None` when no such call runs.
    Lend(Box<str>, reply::Reply<Option<origin::Parent>>),
    /// Gives back the credit and the executions of a sub-call.
    Return(key::CallKey, u8, Option<u32>),
    /// A target beside this node was announced, changed or is gone (`None`).
    Target(target::Target, Option<SocketAddr>),
    /// Reads the present state of a service for operators.
    Status(reply::Reply<Vec<(target::Target, summary::Summary)>>),
}
