//! The service that owns the quarantine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use masticarch_kernel::{mailbox, stop, task};
use masticarch_model::name;
use masticarch_policy::quarantine::suspect;
use masticarch_wire::{error, socket};

use super::{counters, message, peers, state};
use crate::peer::exchange;
use crate::{event, name as names, services};

struct Quarantine {
    services: Rc<services::Services>,
    state: state::State,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    services: Rc<services::Services>,
    stop: stop::Stop,
) {
    let counters = match counters::Counters::new(&services.metrics) {
        Ok(counters) => counters,
        Err(error) => return tracing::error!(%error, "cannot register the metrics of quarantine"),
    };
    let state = state::State::new(&services, counters, Instant::now());
    let mut quarantine = Quarantine { services, state };
    loop {
        match event::next(&mut mailbox, quarantine.state.wake(), &stop).await {
            event::Event::Message(message) => quarantine.handle(message, Instant::now()),
            event::Event::Timer => {}
            event::Event::Stop => return,
        }
        quarantine.advance(Instant::now());
    }
}

impl Quarantine {
    fn handle(&mut self, message: message::Message, now: Instant) {
        let state = &mut self.state;
        match message {
            message::Message::Begin(suspect, reply) => state.begin(*suspect, reply, now),
            message::Message::End(service) => state.end(service),
            message::Message::Completed(fingerprint) => state.complete(fingerprint, now),
            message::Message::Lost(suspect, address, run) => {
                self.lost(*suspect, address, run, now);
            }
            message::Message::Abandoned(suspect) => state.detector().abandoned(*suspect, now),
            message::Message::Unreachable(service) => {
                state.detector().unreachable(&service, now);
            }
            message::Message::Probed(service, accepted) => {
                state.detector().probed(&service, accepted);
            }
            message::Message::Announced { service, leaving } => {
                state.detector().set_leaving(&service, leaving);
            }
            message::Message::Restarted(service) => state.detector().restarted(&service),
            message::Message::Install(directory) => state.install(&directory, now),
            message::Message::Merge(batch) => state.merge(batch, now),
            message::Message::Pushed(node, incarnation, acknowledged) => {
                state.pushed(&node, incarnation, acknowledged, now);
            }
            message::Message::Status(reply) => {
                let _ = reply.send(state.status(now));
            }
        }
    }

    /// Handles what is due, and sends what other nodes do not have.
    fn advance(&mut self, now: Instant) {
        self.state.tick(now);
        while let Some(push) = self.state.take_push(now) {
            drop(task::spawn(
                names::QUARANTINE,
                send(Rc::clone(&self.services), push),
            ));
        }
    }

    fn lost(
        &mut self,
        suspect: suspect::Suspect,
        address: SocketAddr,
        run: Option<Box<str>>,
        now: Instant,
    ) {
        let service = suspect.service.clone();
        if self.state.detector().lost(suspect, run, now) {
            let probe = probe(Rc::clone(&self.services), service, address);
            drop(task::spawn(names::QUARANTINE, probe));
        }
    }
}

/// Finds out whether something listens at the address of a target. A target that does not
/// respond may still run.
async fn probe(services: Rc<services::Services>, service: name::Name, address: SocketAddr) {
    let accepted = match socket::connect(address).await {
        Ok(_) | Err(error::Error::Timeout) => true,
        Err(_) => false,
    };
    let probed = message::Message::Probed(service, accepted);
    let _ = services.quarantine.send(probed).await;
}

async fn send(services: Rc<services::Services>, push: peers::Push) {
    let sent = exchange::quarantine(&services, push.address, &push.batch).await;
    let acknowledged = sent.then_some(push.version);
    let pushed = message::Message::Pushed(push.node, push.incarnation, acknowledged);
    let _ = services.quarantine.send(pushed).await;
}
