//! Delivery of a request to a target.

use crate::admission::{entry, permit};

/// What a target may be told in headers along with a request.
#[derive(Debug)]
pub struct Delivery<'a> {
    /// Request id, team, priority, deadline and caller of the request.
    pub entry: &'a entry::Entry,
    /// Permit of admission to run it.
    pub permit: &'a permit::Permit,
    /// Instance id of the target, if it has announced one.
    pub instance: Option<&'a str>,
}
