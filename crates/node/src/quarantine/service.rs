//! The service that finds out which requests ran when a target beside this node crashed.

use std::net::SocketAddr;
use std::time::Instant;

use masticarch_kernel::{address, mailbox, stop, task};
use masticarch_wire::{error, socket};

use super::{counters, crash, detector, message, subject};
use crate::{event, metrics, name};

/// Most suspects of a crash that its line in the log names.
const MAX_LOGGED_SUSPECTS: usize = 16;

struct State {
    own: address::Address<message::Message>,
    counters: counters::Counters,
    detector: detector::Detector,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    own: address::Address<message::Message>,
    metrics: metrics::Metrics,
    stop: stop::Stop,
) {
    let counters = match counters::Counters::new(&metrics) {
        Ok(counters) => counters,
        Err(error) => return tracing::error!(%error, "cannot register the metrics of quarantine"),
    };
    let mut state = State {
        own,
        counters,
        detector: detector::Detector::default(),
    };
    loop {
        match event::next(&mut mailbox, state.detector.wake(), &stop).await {
            event::Event::Message(message) => state.handle(message, Instant::now()),
            event::Event::Timer => state.tick(Instant::now()),
            event::Event::Stop => return,
        }
    }
}

impl State {
    fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Lost(subject, address, run) => {
                let service = subject.service.clone();
                if self.detector.lost(*subject, run, now) {
                    let own = self.own.clone();
                    drop(task::spawn(name::QUARANTINE, async move {
                        let accepted = accepts_connections(address).await;
                        let _ = own.send(message::Message::Probed(service, accepted)).await;
                    }));
                }
            }
            message::Message::Abandoned(subject) => self.detector.abandoned(*subject, now),
            message::Message::Probed(service, accepted) => self.detector.probed(&service, accepted),
            message::Message::Announced { service, leaving } => {
                self.detector.set_leaving(&service, leaving);
            }
            message::Message::Restarted(service) => self.detector.restarted(&service),
        }
    }

    fn tick(&mut self, now: Instant) {
        while let Some(crash) = self.detector.take_crash(now) {
            self.counters.crashed(&crash.service);
            log(&crash);
        }
    }
}

fn log(crash: &crash::Crash) {
    let describe = |suspect: &subject::Subject| {
        let team = suspect.team.as_deref().unwrap_or("-");
        format!("{}/{}/{team}", suspect.fingerprint, suspect.request)
    };
    let suspects = crash.suspects.iter().take(MAX_LOGGED_SUSPECTS);
    let suspects: Vec<_> = suspects.map(describe).collect();
    tracing::warn!(
        service = %crash.service,
        run = crash.run.as_deref(),
        running = crash.suspects.len(),
        suspects = suspects.join(" "),
        "target crashed while it ran requests"
    );
}

/// Whether something listens at an address. A target that does not respond may still run.
async fn accepts_connections(address: SocketAddr) -> bool {
    match socket::connect(address).await {
        Ok(_) | Err(error::Error::Timeout) => true,
        Err(_) => false,
    }
}
