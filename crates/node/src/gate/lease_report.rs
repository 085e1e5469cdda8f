//! Schedules the reports on teams that go into the next lease request.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_policy::share::holder;
use masticarch_wire::message::lease;

/// When the next reports are due, and the reply that the lease service waits for.
#[derive(Debug)]
pub struct Schedule {
    waiter: Option<reply::Reply<Vec<lease::Report>>>,
    due: Instant,
}

impl Schedule {
    /// A schedule without a waiting reply; the first reports are due at once.
    pub const fn new(now: Instant) -> Self {
        Self {
            waiter: None,
            due: now,
        }
    }

    /// Keeps the reply until reports are due. An earlier reply is dropped, because its
    /// asker no longer waits.
    pub fn ask(&mut self, reply: reply::Reply<Vec<lease::Report>>) {
        self.waiter = Some(reply);
    }

    /// Makes reports due at this moment, unless they are due earlier.
    pub fn bring_forward(&mut self, at: Instant) {
        self.due = self.due.min(at);
    }

    /// Takes the reply when reports are due.
    pub fn take_due(&mut self, now: Instant) -> Option<reply::Reply<Vec<lease::Report>>> {
        if now < self.due {
            return None;
        }
        // Released tokens are reported only once, so not to an asker that has gone.
        let waiter = self.waiter.take().filter(|waiter| !waiter.is_canceled())?;
        self.due = now + holder::REPORT_INTERVAL;
        Some(waiter)
    }

    /// When [`Self::take_due`] returns a reply; `None` when nobody waits.
    pub fn wake(&self) -> Option<Instant> {
        self.waiter.as_ref().map(|_| self.due)
    }
}
