//! A request for a target beside a node, and the outcome of running it.

use masticarch_wire::http::{answer, request};

use crate::admission::{entry, summary};
use crate::refusal;

/// A request for a target, with what admission at the target's node needs to decide
/// on it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Properties of the request that admission decides on.
    pub entry: entry::Entry,
    /// The request without hop-by-hop headers.
    pub request: request::Request,
}

/// How a job ended, with what admission reports to the entry node.
#[derive(Debug)]
pub struct Outcome {
    /// The whole answer of the target, or the refusal in its place.
    pub result: Result<answer::Answer, refusal::Refusal>,
    /// Summary for the entry node; `None` when admission did not send one or it was
    /// lost.
    pub summary: Option<summary::Summary>,
    /// Run of the target that has stated in its answer that it is leaving.
    pub leaving: Option<Box<str>>,
}

impl Outcome {
    /// Outcome of a job without a summary of admission.
    #[must_use]
    pub const fn refused(refusal: refusal::Refusal) -> Self {
        Self {
            result: Err(refusal),
            summary: None,
            leaving: None,
        }
    }
}
