//! Reservation of an idempotency key for one attempt.

use masticarch_kernel::{address, task};
use masticarch_model::{answer as kept, attempt, claim, ran, settlement};
use masticarch_wire::http::{answer, fields};

use super::message;
use crate::{name, refusal};

/// A claim that this node holds for one attempt. When it is dropped before it is
/// settled, because the request was cancelled or nobody received the outcome of the
/// claim, the claim is settled as unknown if the request may have reached a target,
/// and else as not run.
#[derive(Debug)]
pub struct Reservation {
    claims: address::Address<message::Message>,
    subject: Option<claim::Subject>,
    attempt: attempt::Attempt,
    sent: bool,
}

impl Reservation {
    /// The reservation of a claim that was, or may have been, committed for this
    /// attempt.
    #[must_use]
    pub const fn new(
        claims: address::Address<message::Message>,
        subject: claim::Subject,
        attempt: attempt::Attempt,
    ) -> Self {
        Self {
            claims,
            subject: Some(subject),
            attempt,
            sent: false,
        }
    }

    /// Marks that the request may reach a target from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Settles the claim by the result of the last attempt.
    pub fn settle(mut self, result: &Result<answer::Answer, refusal::Refusal>) {
        let settlement = match result {
            Ok(answer) => settlement::Settlement::Done(kept_answer(answer)),
            Err(refusal) => match refusal.ran {
                ran::Ran::No => settlement::Settlement::NotRun,
                ran::Ran::Yes => settlement::Settlement::Done(None),
                ran::Ran::Unknown => settlement::Settlement::Unknown,
            },
        };
        self.send(settlement);
    }

    fn send(&mut self, settlement: settlement::Settlement) {
        let Some(subject) = self.subject.take() else {
            return;
        };
        let message = message::Message::Settle(subject, self.attempt, settlement);
        let claims = self.claims.clone();
        drop(task::spawn(name::CLAIMS, async move {
            let _ = claims.send(message).await;
        }));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.send(if self.sent {
            settlement::Settlement::Unknown
        } else {
            settlement::Settlement::NotRun
        });
    }
}

fn kept_answer(answer: &answer::Answer) -> Option<kept::Answer> {
    (answer.body.len() <= kept::MAX_BODY_BYTES).then(|| kept::Answer {
        status: answer.status.as_u16(),
        content_type: fields::text(&answer.headers, "content-type").map(Into::into),
        body: answer.body.to_vec().into(),
    })
}
