//! Protocol towards callers and targets: how requests are read, refusals encoded and
//! answers classified. Decisions do not depend on it.

pub mod class;
pub mod delivery;
pub mod metadata;
pub mod native;
pub mod notice;

use masticarch_policy::limit;
use masticarch_wire::http::{answer, request};

use crate::{refusal, services};

/// A protocol on top of HTTP that callers and targets use.
pub trait Protocol: 'static {
    /// How the concurrency limit of a target is found.
    type Limiter: limit::Limiter;

    /// Reads what the decisions need from a caller's request, and removes the
    /// headers that no target may see.
    ///
    /// # Errors
    /// A refusal when the request is malformed, or belongs to a call that does not run.
    fn read(
        services: &services::Services,
        request: &mut request::Request,
    ) -> impl Future<Output = Result<metadata::Metadata, refusal::Refusal>>;

    /// Encodes a refusal for the caller; `id` is that of the request, or empty.
    fn refuse(refusal: &refusal::Refusal, id: &str) -> answer::Answer;

    /// Adds what the caller expects to the answer of a target.
    fn complete(answer: &mut answer::Answer, id: &str);

    /// Sets the headers by which the target is told of the delivery.
    fn set_target_headers(request: &mut request::Request, delivery: &delivery::Delivery<'_>);

    /// Classifies the answer of a target to a request. `reused` says that the connection
    /// has carried other requests, whose answers the target may send once more.
    fn classify(request: &request::Request, answer: &answer::Answer, reused: bool) -> class::Class;

    /// Reads what a target states about itself in its answer.
    fn notice(answer: &answer::Answer) -> notice::Notice;
}
