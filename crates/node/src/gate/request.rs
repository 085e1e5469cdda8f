//! What the gate needs to know of a request.

use std::time::Duration;

use crate::origin;

/// The parts of a request on which the gate decides.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where it comes from.
    pub origin: origin::Origin,
    /// Host in lower case, without a port.
    pub host: Option<Box<str>>,
    /// Path without the query.
    pub path: Box<str>,
    /// Request id given by the caller.
    pub id: Option<Box<str>>,
    /// Whether resends carry the same id, so that the ledger must be asked.
    pub recognised: bool,
    /// Name of the priority asked for; only a lower one than the route's
    /// counts.
    pub priority: Option<Box<str>>,
    /// Remaining time given by the caller.
    pub remaining: Option<Duration>,
}
