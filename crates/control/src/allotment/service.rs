//! The task that owns the rate shares.

use std::time::{Duration, Instant};

use masticarch_kernel::{mailbox, stop};
use masticarch_model::{incarnation, map};
use masticarch_policy::share::{lease, owner};

use super::message;
use crate::agreement::event as log;
use crate::event;

/// Time between clean-ups of ended leases.
const PERIOD: Duration = Duration::from_secs(1);

/// Owner of the rate shares while this process leads.
#[derive(Default)]
pub struct Service {
    owner: Option<owner::Owner>,
    limits: Vec<lease::Limit>,
    /// Whether the owner granted nothing when it was last looked at.
    closed: bool,
}

impl Service {
    /// Makes the service of a process that does not lead.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles messages until the service is asked to stop.
    pub async fn run(mut self, mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        let mut events = event::Events::new(mailbox, PERIOD, stop);
        loop {
            match events.next().await {
                event::Event::Message(message) => self.handle(message, Instant::now()),
                event::Event::Tick => self.expire(Instant::now()),
                event::Event::Stop => return,
            }
        }
    }

    /// Handles one message. Nobody waiting for a reply any more is no error.
    fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Role(leadership, holders) => {
                self.change_role(leadership, holders, now);
            }
            message::Message::Begun => {
                if let Some(owner) = &mut self.owner {
                    owner.begin_term();
                }
            }
            message::Message::Holders(joined, ended) => self.follow(joined, &ended),
            message::Message::Release(silent, reply) => {
                let owner = self.owner.as_mut();
                let released = owner.map(|owner| owner.release(now, silent));
                let _ = reply.send(released.unwrap_or_default());
            }
            message::Message::Limits(limits) => self.set_limits(limits, now),
            message::Message::Renew(request, reply) => {
                let owner = self.owner.as_mut();
                let _ = reply.send(owner.and_then(|owner| owner.renew(now, &request)));
                self.note(now);
            }
            message::Message::Usage(reply) => {
                let owner = self.owner.as_ref();
                let _ = reply.send(owner.map(owner::Owner::usage).unwrap_or_default());
            }
        }
    }

    fn follow(
        &mut self,
        joined: Option<incarnation::Incarnation>,
        ended: &[incarnation::Incarnation],
    ) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        if let Some(holder) = joined {
            owner.joined(holder);
        }
        for holder in ended {
            owner.ended(*holder);
        }
    }

    fn change_role(
        &mut self,
        leadership: log::Leadership,
        holders: map::Set<incarnation::Incarnation>,
        now: Instant,
    ) {
        self.owner = match leadership {
            log::Leadership::None => None,
            log::Leadership::First => Some(owner::Owner::first(now)),
            log::Leadership::Later => Some(owner::Owner::awaiting(now, holders)),
        };
        if let Some(owner) = &mut self.owner {
            owner.set_limits(now, &self.limits);
        }
        self.note(now);
    }

    /// Writes a line when grants stop or resume.
    fn note(&mut self, now: Instant) {
        let waiting = self.owner.as_ref().filter(|owner| owner.is_waiting(now));
        if waiting.is_some() == self.closed {
            return;
        }
        self.closed = waiting.is_some();
        if let Some(owner) = waiting {
            let nodes = owner.awaited();
            tracing::info!(nodes, "no rate is granted until these nodes report");
        } else {
            tracing::info!("rates are granted");
        }
    }

    fn set_limits(&mut self, limits: Vec<lease::Limit>, now: Instant) {
        self.limits = limits;
        if let Some(owner) = &mut self.owner {
            owner.set_limits(now, &self.limits);
        }
    }

    fn expire(&mut self, now: Instant) {
        if let Some(owner) = &mut self.owner {
            owner.expire(now);
        }
        self.note(now);
    }
}
