//! A running call, ended by message whatever becomes of its task.

use std::time::Instant;

use masticarch_kernel::{address, reply, task};

use crate::admission::message::{End, Message};
use crate::admission::{key, summary};
use crate::name;

/// A running call. When its task is dropped, because the caller went away or
/// the deadline passed, admission is told that the call was cancelled.
pub struct Guard {
    admission: address::Address<Message>,
    key: Option<key::CallKey>,
    started: Instant,
    sent: bool,
}

impl Guard {
    /// Takes over a call that admission has begun.
    #[must_use]
    pub fn new(admission: address::Address<Message>, key: key::CallKey) -> Self {
        Self {
            admission,
            key: Some(key),
            started: Instant::now(),
            sent: false,
        }
    }

    /// Notes that the request may reach the target from now on.
    pub fn set_sent(&mut self) {
        self.sent = true;
        self.started = Instant::now();
    }

    /// Ends the call and returns what goes back to the entry node; `None` when
    /// admission has stopped.
    pub async fn end(mut self, end: End) -> Option<summary::Summary> {
        let key = self.key.take()?;
        let release = |slot| Message::Release(key, end, slot);
        self.admission.ask(release).await.ok()
    }

    /// How the call ended when the target gave a whole answer.
    #[must_use]
    pub fn answered(&self) -> End {
        End::Answered(self.started.elapsed())
    }

    /// How the call ended when the target gave no whole answer.
    #[must_use]
    pub fn failed(&self) -> End {
        if self.sent {
            End::Failed(self.started.elapsed())
        } else {
            End::NotRun
        }
    }

    /// How the call ended when nobody waits for the answer any more.
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
        let (slot, _) = reply::Reply::new();
        let message = Message::Release(key, self.cancelled(), slot);
        let admission = self.admission.clone();
        drop(task::spawn(name::TARGET, async move {
            let _ = admission.send(message).await;
        }));
    }
}
