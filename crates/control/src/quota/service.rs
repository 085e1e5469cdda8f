//! The task that grants shares of the teams' rate limits.

use std::time::{Duration, Instant};

use masticarch_kernel::{mailbox, stop};
use masticarch_model::{incarnation, map};
use masticarch_policy::share::{lease, owner};

use super::message;
use crate::agreement::event as log;
use crate::event;

/// Time between removals of expired leases.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);

/// Grants shares of rate limits while this process leads.
#[derive(Default)]
pub struct Service {
    /// Accounts for all shares; present while this process leads.
    owner: Option<owner::Owner>,
    limits: Vec<lease::Limit>,
    /// Whether grants were suspended at the last check.
    was_suspended: bool,
}

impl Service {
    /// Makes the service of a process that does not lead.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles messages until the service is asked to stop.
    pub async fn run(mut self, mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        let mut events = event::Events::new(mailbox, CLEANUP_PERIOD, stop);
        loop {
            match events.next().await {
                event::Event::Message(message) => self.handle(message, Instant::now()),
                event::Event::Tick => self.expire(Instant::now()),
                event::Event::Stop => return,
            }
        }
    }

    /// Handles one message. It is not an error if nobody waits for the reply any
    /// more.
    fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Role(leadership, holders) => {
                self.change_role(leadership, holders, now);
            }
            message::Message::CaughtUp => {
                if let Some(owner) = &mut self.owner {
                    owner.begin_term();
                }
            }
            message::Message::Holders(joined, ended) => self.update_holders(joined, &ended),
            message::Message::Release(silent, reply) => {
                let owner = self.owner.as_mut();
                let released = owner.map(|owner| owner.release(now, silent));
                let _ = reply.send(released.unwrap_or_default());
            }
            message::Message::Limits(limits) => self.set_limits(limits, now),
            message::Message::Renew(request, reply) => {
                let owner = self.owner.as_mut();
                let _ = reply.send(owner.and_then(|owner| owner.renew(now, &request)));
                self.log_transition(now);
            }
            message::Message::Usage(reply) => {
                let owner = self.owner.as_ref();
                let _ = reply.send(owner.map(owner::Owner::usage).unwrap_or_default());
            }
        }
    }

    fn update_holders(
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
        self.log_transition(now);
    }

    /// Logs when grants are suspended or resumed.
    fn log_transition(&mut self, now: Instant) {
        let waiting = self.owner.as_ref().filter(|owner| owner.is_waiting(now));
        if waiting.is_some() == self.was_suspended {
            return;
        }
        self.was_suspended = waiting.is_some();
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
        self.log_transition(now);
    }
}
