//! Guard of a running call, which releases it when its task is dropped.

use std::time::Instant;

use masticarch_kernel::{address, reply, task};

use crate::admission::message::{End, Message};
use crate::admission::{key, summary};
use crate::name;
use crate::protocol::notice;

/// Releases a running call exactly once: by [`Self::end`], or as cancelled when the
/// guard is dropped with its task because the caller disconnected or the deadline
/// passed.
pub struct Guard {
    admission: address::Address<Message>,
    key: Option<key::CallKey>,
    started: Instant,
    sent: bool,
    notice: Option<notice::Notice>,
    /// Run of the target that has stated that it is leaving.
    leaving: Option<Box<str>>,
}

impl Guard {
    /// Guards a call for which admission has given a permit.
    #[must_use]
    pub fn new(admission: address::Address<Message>, key: key::CallKey) -> Self {
        Self {
            admission,
            key: Some(key),
            started: Instant::now(),
            sent: false,
            notice: None,
            leaving: None,
        }
    }

    /// Marks that the request may reach the target from now on. The duration of the call
    /// counts from here.
    pub fn mark_sent(&mut self) {
        self.sent = true;
        self.started = Instant::now();
    }

    /// Records what this run of the target states in its answer.
    pub fn record_notice(&mut self, notice: notice::Notice, run: Option<Box<str>>) {
        self.notice = Some(notice);
        self.leaving = run.filter(|_| notice.leaving);
    }

    /// The run that has stated in its answer that it is leaving.
    #[must_use]
    pub fn leaving(&self) -> Option<Box<str>> {
        self.leaving.clone()
    }

    /// Ends the call and returns the summary for the entry node; `None` when admission
    /// has stopped.
    pub async fn end(mut self, end: End) -> Option<summary::Summary> {
        let key = self.key.take()?;
        let release = |reply| Message::Release(key, end, self.notice, reply);
        self.admission.ask(release).await.ok()
    }

    /// End of a call whose answer has arrived whole.
    #[must_use]
    pub fn answered(&self) -> End {
        End::Answered(self.started.elapsed())
    }

    /// End of a call whose answer, a server error, has arrived whole.
    #[must_use]
    pub fn errored(&self) -> End {
        End::Errored(self.started.elapsed())
    }

    /// End of a call that the target has refused.
    #[must_use]
    pub fn refused(&self) -> End {
        End::Refused(self.started.elapsed())
    }

    /// End of a call whose answer has not arrived whole.
    #[must_use]
    pub fn failed(&self) -> End {
        if self.sent {
            End::Failed(self.started.elapsed())
        } else {
            End::NotRun
        }
    }

    /// End of a call whose answer nobody waits for any more.
    #[must_use]
    pub fn cancelled(&self) -> End {
        if self.sent {
            End::Cancelled(self.started.elapsed())
        } else {
            End::NotRun
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(key) = self.key.take() else { return };
        let (reply, _) = reply::Reply::new();
        let message = Message::Release(key, self.cancelled(), self.notice, reply);
        let admission = self.admission.clone();
        drop(task::spawn(name::TARGET, async move {
            let _ = admission.send(message).await;
        }));
    }
}
