//! What the gate needs to know of a request.

use std::time::Duration;

use crate::origin;

/// The parts of a request on which the gate decides.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where it comes from.
    pub origin: origin::Origin,
    /// Path without the query.
    pub path: Box<str>,
    /// Request id given by the caller.
    pub id: Option<Box<str>>,
    /// Name of the priority asked for; only a lower one than the route's
    /// counts.
    pub priority: Option<Box<str>>,
    /// Remaining time given by the caller.
    pub remaining: Option<Duration>,
}
