//! The service `work`: assigns the slots of a stand-in to requests, and owns its
//! queue, behaviour and records.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use futures::FutureExt;
use masticarch_kernel::{mailbox, name, reply, stop};

use super::{behaviour, record, settings};

/// Name of the service.
pub const NAME: name::Name = name::Name::new("work");

/// A message to the service.
#[derive(Debug)]
pub enum Message {
    /// Asks for a slot; the reply comes once the request may run or is refused.
    Begin(record::Metadata, reply::Reply<Admission>),
    /// Releases the slot of a request that has ended.
    End,
    /// The stand-in has crashed: it announces nothing, and later its next run.
    Crashed,
    /// The stand-in runs again.
    Restarted,
    /// Changes the behaviour and replies with the new one.
    Change(behaviour::Change, reply::Reply<behaviour::Behaviour>),
    /// Replies with behaviour and load.
    Describe(reply::Reply<State>),
    /// Replies with the executions so far.
    Executions(reply::Reply<record::Executions>),
}

/// Whether a request may run, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request runs and holds a slot until [`Message::End`].
    Run {
        /// Service time of the request.
        duration: Duration,
        /// Whether it fails after its service time.
        fails: bool,
        /// Behaviour at its start.
        behaviour: behaviour::Behaviour,
    },
    /// The queue is full; the request does not run.
    Refused,
}

/// Snapshot of behaviour and load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Current behaviour.
    pub behaviour: behaviour::Behaviour,
    /// Number of requests that hold a slot.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
}

/// A request that waits for a slot.
struct Waiter {
    metadata: record::Metadata,
    reply: reply::Reply<Admission>,
}

/// The state of the service.
pub struct Scheduler {
    settings: settings::Settings,
    behaviour: behaviour::Behaviour,
    started: Instant,
    random: fastrand::Rng,
    running: usize,
    queue: VecDeque<Waiter>,
    executions: record::Executions,
}

impl Scheduler {
    /// Creates the state; the warm-up counts from `started`.
    #[must_use]
    pub fn new(settings: settings::Settings, started: Instant) -> Self {
        Self {
            behaviour: settings.behaviour,
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
            started,
            running: 0,
            queue: VecDeque::new(),
            executions: record::Executions::default(),
        }
    }

    /// Handles messages until the service stops.
    pub async fn run(mut self, mut mailbox: mailbox::Mailbox<Message>, stop: stop::Stop) {
        let mut stopped = Box::pin(stop.wait().fuse());
        loop {
            futures::select! {
                message = mailbox.receive().fuse() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = stopped => return,
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Begin(metadata, reply) => self.begin(metadata, reply),
            Message::End => self.end(),
            Message::Crashed => {
                self.executions.crashes += 1;
                self.behaviour.announcing = false;
                self.behaviour.run += 1;
            }
            Message::Restarted => self.behaviour.announcing = true,
            Message::Change(change, reply) => {
                self.behaviour = self.behaviour.with(change);
                let _ = reply.send(self.behaviour);
            }
            Message::Describe(reply) => {
                let _ = reply.send(self.state());
            }
            Message::Executions(reply) => {
                let _ = reply.send(self.executions.clone());
            }
        }
    }

    fn begin(&mut self, metadata: record::Metadata, reply: reply::Reply<Admission>) {
        self.executions.keys_seen += u64::from(metadata.has_key);
        if self.running < self.settings.slots {
            self.start(Waiter { metadata, reply });
        } else if self.queue.len() < self.settings.queue {
            self.queue.push_back(Waiter { metadata, reply });
        } else {
            let _ = reply.send(Admission::Refused);
        }
    }

    fn end(&mut self) {
        self.running -= 1;
        while self.running < self.settings.slots {
            let Some(waiter) = self.queue.pop_front() else {
                return;
            };
            self.start(waiter);
        }
    }

    fn start(&mut self, waiter: Waiter) {
        let admission = Admission::Run {
            duration: self.duration(),
            fails: self.random.f64() < self.behaviour.failure_share,
            behaviour: self.behaviour,
        };
        if waiter.reply.send(admission).is_ok() {
            self.running += 1;
            self.executions.count(waiter.metadata);
        }
    }

    fn duration(&mut self) -> Duration {
        let cold = self.started.elapsed() < Duration::from_millis(self.settings.cold_ms);
        let factor = if cold { self.settings.cold_factor } else { 1.0 };
        let base = self.settings.service_ms.sample(&mut self.random);
        base.mul_f64(factor * self.behaviour.slow_down)
    }

    fn state(&self) -> State {
        State {
            behaviour: self.behaviour,
            running: self.running,
            queued: self.queue.len(),
        }
    }
}
