//! Events of a service that has a mailbox and a timer.

use std::time::Duration;

use futures::FutureExt;
use masticarch_kernel::{mailbox, stop};
use monoio::time::{Interval, MissedTickBehavior, interval};

/// One event of a service.
#[derive(Debug)]
pub enum Event<M> {
    /// A message arrived.
    Message(M),
    /// The period of the timer has passed.
    Tick,
    /// The service is asked to stop.
    Stop,
}

/// Messages, ticks and the stop signal of one service.
pub struct Events<M> {
    mailbox: mailbox::Mailbox<M>,
    ticks: Interval,
    stop: stop::Stop,
}

impl<M> Events<M> {
    /// Makes the events of a service. Ticks are delayed, not made up for, when
    /// the service falls behind.
    #[must_use]
    pub fn new(mailbox: mailbox::Mailbox<M>, period: Duration, stop: stop::Stop) -> Self {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            mailbox,
            ticks,
            stop,
        }
    }

    /// Waits for the next event. Waiting messages come before the stop signal, so
    /// that those sent earlier are still handled.
    pub async fn next(&mut self) -> Event<M> {
        futures::select_biased! {
            _ = self.ticks.tick().fuse() => Event::Tick,
            message = self.mailbox.receive().fuse() => message.map_or(Event::Stop, Event::Message),
            () = self.stop.wait().fuse() => Event::Stop,
        }
    }
}
