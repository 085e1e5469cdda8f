//! Messages to the service that holds the node's copy of the published state.

use std::time::{Duration, Instant};

use masticarch_kernel::reply;
use masticarch_model::{run, version};
use masticarch_wire::message::sync;

use super::home;

/// State of the copy, as it is shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Version of the copy.
    pub version: version::Version,
    /// Version of the configuration in the copy.
    pub configuration_version: version::Version,
    /// Time since the copy was known to be current; `None` when it never was.
    pub age: Option<Duration>,
    /// Whether the node is leaving.
    pub draining: bool,
}

/// Messages to the service that holds the node's copy of the published state.
#[derive(Debug)]
pub enum Message {
    /// Builds the next request to the leader.
    NextRequest(reply::Reply<sync::Request>),
    /// The leader's reply, and the time at which the request for it was sent.
    Received(sync::Reply, Instant),
    /// Finds the home node of a request id; `None` while no node is known.
    Home(Box<str>, reply::Reply<Option<home::Home>>),
    /// Announces the node's targets to the leader as draining from now on.
    Drain,
    /// Reports the runs of the local targets to the leader at once. The reply says whether
    /// the leader has recorded those that are leaving.
    Report(reply::Reply<bool>),
    /// The leader has recorded these departed runs.
    Recorded(Vec<run::Run>),
    /// Reads the state of the copy.
    Status(reply::Reply<Status>),
}
