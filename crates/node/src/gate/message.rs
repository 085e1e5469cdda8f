//! Messages to the gate.

use std::rc::Rc;
use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_model::directory;
use masticarch_wire::message::lease;

use crate::gate::{admission, choice, key, report, request};
use crate::refusal;

/// Totals of a request's call tree at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// Retry credit left.
    pub credit: u8,
    /// Executions in the call tree; `None` when their number is unknown.
    pub executions: Option<u32>,
}

/// Messages to the gate.
#[derive(Debug)]
pub enum Message {
    /// Decides on a new request; the reply may wait for tokens of the team's
    /// rate.
    Begin(
        Box<request::Request>,
        reply::Reply<Result<admission::Admission, refusal::Refusal>>,
    ),
    /// Reports a failed attempt and asks for another target; `None` when no
    /// further attempt is allowed.
    Next(
        key::RequestKey,
        report::Report,
        reply::Reply<Option<choice::Choice>>,
    ),
    /// Sets the credit and the repeat mark that the ledger allows to a request with a
    /// caller's id; the reply is the choice with both, or `None` when the request is
    /// no longer in flight.
    SetCredit(
        key::RequestKey,
        u8,
        bool,
        reply::Reply<Option<choice::Choice>>,
    ),
    /// Ends a request with the report of its last attempt; `None` when that attempt was
    /// not sent. A report that was already sent with `Next` has no further effect.
    End(
        key::RequestKey,
        Option<report::Report>,
        Option<reply::Reply<Total>>,
    ),
    /// Installs a directory that was current at this moment.
    Install(Rc<directory::Directory>, Instant),
    /// The installed directory was still current at this moment.
    Current(Instant),
    /// Asks for the reports of the next lease request. The reply is sent when a team
    /// needs a share soon, or when the report interval of 1 s has passed.
    Reports(reply::Reply<Vec<lease::Report>>),
    /// Grants from the control leader in reply to a lease request that was sent at this
    /// moment.
    Grants(Vec<lease::Grant>, Instant),
    /// The control leader, which owns the limits, may not have received the latest
    /// reports.
    ReportsLost,
    /// Another control process leads, and waits for the reports of all nodes.
    LeaderChanged,
    /// The node ends at this moment. Requests that it still takes must end before.
    ShutDown(Instant),
    /// Refuses new requests from now on.
    Drain,
}
