//! Claims a non-idempotent request by its idempotency key, or recognises a resend.

use masticarch_model::{answer as kept, claim, code, secret};
use masticarch_wire::http::request;

use crate::claims::{message, reservation};
use crate::gate::admission;
use crate::{refusal, services};

/// Outcome of claiming a request.
pub enum Outcome {
    /// The request may run; the claim is held by the reservation.
    Claimed(reservation::Reservation),
    /// The request may run without a claim, as no resend of it could be recognised.
    Unneeded,
    /// The request is a resend; this is the answer to the first one.
    Kept(kept::Answer),
}

/// What identifies a request and its resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The idempotency key that the request carries.
    Key(Box<str>),
    /// The request id that the caller gave.
    Root,
    /// The request id of the root and a digest of the content: a root request may make
    /// several sub-calls on one route, which differ in their content.
    SubCall,
    /// Nothing: the id was generated here, so no resend carries it.
    Generated,
}

impl Identity {
    /// The idempotency key under which a request is claimed; `None` when no resend
    /// could find the claim.
    fn key(self, admission: &admission::Admission, digest: &[u8; 32]) -> Option<Box<str>> {
        match self {
            Self::Key(key) => Some(key),
            Self::Root => Some(admission.root.clone()),
            Self::SubCall => {
                let content = secret::encode(digest);
                Some(format!("{}/{content}", admission.root).into())
            }
            Self::Generated => None,
        }
    }
}

/// Claims a request at the control leader.
///
/// # Errors
/// A refusal when another attempt holds the claim or it cannot be committed.
pub async fn claim(
    services: &services::Services,
    admission: &admission::Admission,
    identity: Identity,
    request: &request::Request,
) -> Result<Outcome, refusal::Refusal> {
    let digest = digest(request);
    let Some(key) = identity.key(admission, &digest) else {
        return Ok(Outcome::Unneeded);
    };
    let subject = claim::Subject {
        team: admission.team.clone(),
        route: admission.route.clone(),
        key,
    };
    let ask = |reply| message::Message::Claim(subject.clone(), digest, admission.deadline, reply);
    match services.claims.ask(ask).await {
        Ok(message::Outcome::Claimed(reservation)) => Ok(Outcome::Claimed(reservation)),
        Ok(message::Outcome::Held(held)) => outcome_of_resend(held, &digest),
        Ok(message::Outcome::Unavailable) | Err(_) => Err(refusal::Refusal::new(
            code::Code::ClaimUnavailable,
            "the claim could not be committed before the deadline",
        )),
    }
}

/// Decides on a request whose idempotency key is claimed already: a resend, or another
/// request with the same key.
fn outcome_of_resend(held: claim::Claim, digest: &[u8; 32]) -> Result<Outcome, refusal::Refusal> {
    if held.digest != *digest {
        return Err(refusal::Refusal::new(
            code::Code::IdempotencyMismatch,
            "another request was sent with the same idempotency key",
        ));
    }
    let (code, detail) = match held.state {
        claim::State::Done(Some(answer)) => return Ok(Outcome::Kept(answer)),
        claim::State::Done(None) => (
            code::Code::AnswerNotKept,
            "the request ran; its answer was too large to keep",
        ),
        claim::State::Running => (code::Code::StillRunning, "the first request still runs"),
        claim::State::Unknown => (
            code::Code::OutcomeUnknown,
            "it cannot be known whether the first request ran",
        ),
    };
    Err(refusal::Refusal::new(code, detail))
}

/// Digest of method, path with query, and body.
fn digest(request: &request::Request) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(request.path_and_query().as_bytes());
    hasher.update(b"\n");
    hasher.update(&request.body);
    *hasher.finalize().as_bytes()
}
