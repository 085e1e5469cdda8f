//! Watches the run of a request at a target.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::address;
use masticarch_model::code;

use super::{content, filter, message, turn};
use crate::target::job;
use crate::{refusal, services};

/// Longest wait of a suspect for its turn.
const ISOLATION_WAIT: Duration = Duration::from_secs(1);

/// Watches the run of a job at a target, so that the quarantine knows of it if the target
/// crashes. A run that is dropped with its task, or given up at the deadline, may go on at
/// the target.
pub struct Watch {
    /// The job that runs.
    pub job: job::Job,
    quarantine: address::Address<message::Message>,
    suspects: filter::Filter,
    turn: Option<turn::Turn>,
    running: bool,
}

impl Watch {
    /// Watches a job that is not sent yet; waits for its turn if it is a suspect.
    ///
    /// # Errors
    /// A refusal if the request is quarantined, or its turn does not come.
    pub async fn begin(
        services: &services::Services,
        job: job::Job,
    ) -> Result<Self, refusal::Refusal> {
        let mut watch = Self {
            job,
            quarantine: services.quarantine.clone(),
            suspects: services.suspects.clone(),
            turn: None,
            running: false,
        };
        if services.options.decisions && watch.may_be_suspect() {
            // Boxed, so that other requests need no space for this future.
            watch.turn = Box::pin(watch.ask()).await?;
        }
        Ok(watch)
    }

    /// Marks that the target may run the job from now on.
    pub const fn mark_sent(&mut self) {
        self.running = true;
    }

    /// Marks that the target has answered the job, and is still there.
    pub fn mark_answered(&mut self) {
        self.running = false;
        if self.may_be_suspect() {
            let fingerprint = content::fingerprint(&self.job);
            let completed = message::Message::Completed(fingerprint);
            let _ = self.quarantine.try_send(completed);
        }
    }

    /// Reports that the connection was closed without a whole answer. `run` identifies the
    /// run of the target.
    pub async fn report_lost(&mut self, address: SocketAddr, run: Option<Box<str>>) {
        self.running = false;
        let suspect = Box::new(content::suspect(&self.job));
        let lost = message::Message::Lost(suspect, address, run);
        let _ = self.quarantine.send(lost).await;
    }

    /// Reports that the target accepts no connection.
    pub async fn report_unreachable(&self) {
        let service = self.job.entry.service.clone();
        let unreachable = message::Message::Unreachable(service);
        let _ = self.quarantine.send(unreachable).await;
    }

    fn may_be_suspect(&self) -> bool {
        !self.suspects.is_empty() && self.suspects.contains(content::head(&self.job))
    }

    async fn ask(&self) -> message::Decision {
        let suspect = Box::new(content::suspect(&self.job));
        let begin = |reply| message::Message::Begin(suspect, reply);
        let wait = self.job.entry.remaining().min(ISOLATION_WAIT);
        match monoio::time::timeout(wait, self.quarantine.ask(begin)).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) => Err(refusal::Refusal::draining()),
            Err(_) => Err(refusal::Refusal::new(
                code::Code::Overloaded,
                "another request that may crash the target runs there",
            )),
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.running {
            let abandoned = message::Message::Abandoned(Box::new(content::suspect(&self.job)));
            let _ = self.quarantine.try_send(abandoned);
        }
    }
}
