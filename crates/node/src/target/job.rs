//! A request on its way to a target beside this node.

use masticarch_wire::http::{answer, request};

use crate::admission::{entry, summary};
use crate::refusal;

/// A request on its way to a target beside this node.
#[derive(Clone, Debug)]
pub struct Job {
    /// What admission decides on.
    pub entry: entry::Entry,
    /// The request without headers of the connection it came on.
    pub request: request::Request,
}

/// How a job ended.
#[derive(Debug)]
pub struct Outcome {
    /// The whole answer of the target, or why there is none.
    pub result: Result<answer::Answer, refusal::Refusal>,
    /// What goes back to the entry node; `None` when it is not known.
    pub summary: Option<summary::Summary>,
}

impl Outcome {
    /// A job that ended without a word from admission.
    #[must_use]
    pub const fn refused(refusal: refusal::Refusal) -> Self {
        Self {
            result: Err(refusal),
            summary: None,
        }
    }
}
