//! A claim that this node holds, settled truthfully whatever happens.

use masticarch_kernel::{address, task};
use masticarch_model::{answer as kept, attempt, claim, ran, settlement};
use masticarch_wire::http::{answer, fields};

use super::message;
use crate::{name, refusal};

/// A claim that this node holds. When it is dropped, because its request was
/// cancelled or nobody received the verdict, the claim is settled as not run or
/// as unknown, whichever is true.
#[derive(Debug)]
pub struct Hold {
    claims: address::Address<message::Message>,
    subject: Option<claim::Subject>,
    attempt: attempt::Attempt,
    sent: bool,
}

impl Hold {
    /// A claim that was committed for this attempt.
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
        drop(task::spawn(name::CLAIMS, async move {
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

fn keep(answer: &answer::Answer) -> Option<kept::Answer> {
    (answer.body.len() <= kept::MAX_BODY_BYTES).then(|| kept::Answer {
        status: answer.status.as_u16(),
        content_type: fields::text(&answer.headers, "content-type").map(Into::into),
        body: answer.body.to_vec().into(),
    })
}
