//! The form of messages towards callers and targets. Decisions do not depend on
//! it; each front end is one implementation of [`Protocol`].

pub mod class;
pub mod delivery;
pub mod metadata;
pub mod native;

use masticarch_policy::limit;
use masticarch_wire::http::{answer, request};

use crate::{refusal, services};

/// How callers and targets speak.
pub trait Protocol: 'static {
    /// How the capacity of a target is found.
    type Limiter: limit::Limiter;

    /// Reads what the decisions need from a caller's request, and removes the
    /// headers that no target may see.
    ///
    /// # Errors
    /// A refusal when the request cannot be understood.
    fn read(
        services: &services::Services,
        request: &mut request::Request,
    ) -> impl Future<Output = Result<metadata::Metadata, refusal::Refusal>>;

    /// Encodes a refusal for the caller of the request with this id.
    fn refuse(refusal: &refusal::Refusal, id: &str) -> answer::Answer;

    /// Completes a target's answer for the caller.
    fn complete(answer: &mut answer::Answer, id: &str);

    /// Sets the headers that the target sees.
    fn set_target_headers(request: &mut request::Request, delivery: &delivery::Delivery<'_>);

    /// Tells what a target's answer means.
    fn classify(request: &request::Request, answer: &answer::Answer) -> class::Class;
}
