//! Claims a non-idempotent request and settles the claim truthfully.

use masticarch_kernel::{address, task};
use masticarch_model::{answer as kept, attempt, claim, code, ran, settlement};
use masticarch_wire::http::{answer, fields, request};

use crate::claims::message;
use crate::gate::admission;
use crate::{name, refusal, services};

/// A claim that this node holds. When its task is dropped the claim is settled
/// as not run or as unknown, whichever is true.
pub struct Hold {
    claims: address::Address<message::Message>,
    subject: Option<claim::Subject>,
    attempt: attempt::Attempt,
    sent: bool,
}

/// What a claim leads to.
pub enum Claimed {
    /// This request may run.
    Run(Hold),
    /// The first request with this key has this answer.
    Kept(kept::Answer),
}

/// Claims a request.
///
/// # Errors
/// A refusal when another attempt holds the claim or it cannot be committed.
pub async fn claim(
    services: &services::Services,
    admission: &admission::Admission,
    key: Box<str>,
    request: &request::Request,
) -> Result<Claimed, refusal::Refusal> {
    let subject = claim::Subject {
        team: admission.team.clone(),
        route: admission.route.clone(),
        key,
    };
    let digest = digest(request);
    let ask = |slot| message::Message::Claim(subject.clone(), digest, admission.deadline, slot);
    match services.claims.ask(ask).await {
        Ok(message::Verdict::Claimed(attempt)) => Ok(Claimed::Run(Hold {
            claims: services.claims.clone(),
            subject: Some(subject),
            attempt,
            sent: false,
        })),
        Ok(message::Verdict::Held(held)) => resend(held, &digest),
        Ok(message::Verdict::Unavailable) | Err(_) => Err(refusal::Refusal::new(
            code::Code::ClaimUnavailable,
            "the claim could not be committed before the deadline",
        )),
    }
}

impl Hold {
    /// Notes that the request may reach a target from now on.
    pub fn sending(&mut self) {
        self.sent = true;
    }

    /// Settles the claim by the result of the last attempt.
    pub fn settle(mut self, result: &Result<answer::Answer, refusal::Refusal>) {
        let settlement = match result {
            Ok(answer) => settlement::Settlement::Done(keep(answer)),
            Err(refusal) => match refusal.ran {
                ran::Ran::No => settlement::Settlement::NotRun,
                ran::Ran::Yes => settlement::Settlement::Done(None),
                ran::Ran::Unknown => settlement::Settlement::Unknown,
            },
        };
        self.tell(settlement);
    }

    fn tell(&mut self, settlement: settlement::Settlement) {
        let Some(subject) = self.subject.take() else {
            return;
        };
        let message = message::Message::Settle(subject, self.attempt, settlement);
        let claims = self.claims.clone();
        drop(task::spawn(name::CALLER, async move {
            let _ = claims.send(message).await;
        }));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.tell(if self.sent {
            settlement::Settlement::Unknown
        } else {
            settlement::Settlement::NotRun
        });
    }
}

fn resend(held: claim::Claim, digest: &[u8; 32]) -> Result<Claimed, refusal::Refusal> {
    if held.digest != *digest {
        return Err(refusal::Refusal::new(
            code::Code::IdempotencyMismatch,
            "another request was sent with the same idempotency key",
        ));
    }
    let (code, detail) = match held.state {
        claim::State::Done(Some(answer)) => return Ok(Claimed::Kept(answer)),
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

/// Digest of method, path and body.
fn digest(request: &request::Request) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method.as_str().as_bytes());
    hasher.update(b" ");
    hasher.update(request.path_and_query().as_bytes());
    hasher.update(b"\n");
    hasher.update(&request.body);
    *hasher.finalize().as_bytes()
}

fn keep(answer: &answer::Answer) -> Option<kept::Answer> {
    (answer.body.len() <= kept::MAX_KEPT_BYTES).then(|| kept::Answer {
        status: answer.status.as_u16(),
        content_type: fields::text(&answer.headers, "content-type").map(Into::into),
        body: answer.body.to_vec().into(),
    })
}
