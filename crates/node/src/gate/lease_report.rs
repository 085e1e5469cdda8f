//! When the next lease request is due.

use std::time::Instant;

use masticarch_kernel::reply;
use masticarch_policy::share::holder;
use masticarch_wire::message::lease;

/// The lease task's question for reports, which waits until they are due.
#[derive(Debug)]
pub struct Schedule {
    waiter: Option<reply::Reply<Vec<lease::Report>>>,
    due: Instant,
}

impl Schedule {
    /// Nothing has been asked for; the first reports are due at once.
    pub const fn new(now: Instant) -> Self {
        Self {
            waiter: None,
            due: now,
        }
    }

    /// The lease task asks. An earlier question is dropped: its asker has gone.
    pub fn ask(&mut self, reply: reply::Reply<Vec<lease::Report>>) {
        self.waiter = Some(reply);
    }

    /// Something should be reported at this moment already.
    pub fn bring_forward(&mut self, at: Instant) {
        self.due = self.due.min(at);
    }

    /// Takes the question when reports are due.
    pub fn take_due(&mut self, now: Instant) -> Option<reply::Reply<Vec<lease::Report>>> {
        if now < self.due {
            return None;
        }
        // Released tokens are reported once: not to an asker that has gone.
        let waiter = self.waiter.take().filter(|waiter| !waiter.is_canceled())?;
        self.due = now + holder::REPORT_INTERVAL;
        Some(waiter)
    }

    /// When [`Self::take_due`] has a question; `None` when nobody asks.
    pub fn wake(&self) -> Option<Instant> {
        self.waiter.as_ref().map(|_| self.due)
    }
}
