//! A request as the gate sees it.

use std::time::Duration;

use crate::origin;

/// The parts of a request on which the gate decides.
#[derive(Clone, Debug)]
pub struct Request {
    /// A caller outside the fleet, or a running call.
    pub origin: origin::Origin,
    /// Host in lower case, without the port.
    pub host: Option<Box<str>>,
    /// Path without the query.
    pub path: Box<str>,
    /// Request id given by the caller; a random one is used without it.
    pub id: Option<Box<str>>,
    /// Whether resends carry the same id, so that the ledger can recognise them.
    pub has_stable_id: bool,
    /// Name of the priority that the caller asked for; ignored unless it is lower than
    /// the one that the request has anyway.
    pub priority: Option<Box<str>>,
    /// Time left until the deadline of the caller; the timeout of the route applies
    /// as well.
    pub remaining: Option<Duration>,
}
