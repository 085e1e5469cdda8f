//! Watches the run of a request at a target.

use std::net::SocketAddr;

use masticarch_kernel::address;

use super::{content, message, subject};
use crate::target::job;

/// Watches the run of a job at a target, so that the quarantine knows of it if the target
/// crashes. A run that is dropped with its task, or given up at the deadline, may go on at
/// the target.
pub struct Watch {
    /// The job that runs.
    pub job: job::Job,
    quarantine: address::Address<message::Message>,
    running: bool,
}

impl Watch {
    /// Watches a job that is not sent yet.
    #[must_use]
    pub const fn new(quarantine: address::Address<message::Message>, job: job::Job) -> Self {
        Self {
            job,
            quarantine,
            running: false,
        }
    }

    /// Marks that the target may run the job from now on.
    pub const fn mark_sent(&mut self) {
        self.running = true;
    }

    /// Marks that the target is done with the job and still there.
    pub const fn mark_answered(&mut self) {
        self.running = false;
    }

    /// Reports that the connection was closed without a whole answer. `run` identifies the
    /// run of the target.
    pub async fn report_lost(&mut self, address: SocketAddr, run: Option<Box<str>>) {
        self.running = false;
        let subject = Box::new(self.subject());
        let lost = message::Message::Lost(subject, address, run);
        let _ = self.quarantine.send(lost).await;
    }

    fn subject(&self) -> subject::Subject {
        let entry = &self.job.entry;
        subject::Subject {
            fingerprint: content::fingerprint(&self.job),
            request: entry.root.clone(),
            service: entry.service.clone(),
            team: entry.team.clone(),
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.running {
            let abandoned = message::Message::Abandoned(Box::new(self.subject()));
            let _ = self.quarantine.try_send(abandoned);
        }
    }
}
