//! What a target is told besides the request.

use crate::admission::{entry, permit};

/// What a target is told besides the request.
#[derive(Debug)]
pub struct Delivery<'a> {
    /// On whose behalf the request runs, and until when.
    pub entry: &'a entry::Entry,
    /// Leave to run it.
    pub permit: &'a permit::Permit,
    /// Run of the target, where the target has told it.
    pub instance: Option<&'a str>,
}
