//! Queue for requests that arrive before the node has its first configuration.

use std::collections::VecDeque;
use std::time::Instant;

use crate::gate::{pending, request};

/// Most requests that wait; bounds memory when a node starts under load.
const MAX_WAITING: usize = 256;

/// A request that waits for the first configuration.
#[derive(Debug)]
struct Waiter {
    until: Instant,
    request: request::Request,
    reply: pending::Reply,
}

/// Requests that arrived before the node had its first configuration, in the order of
/// arrival. [`Self::take_expired`] looks at the first one only.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: VecDeque<Waiter>,
}

impl Queue {
    /// Keeps a request for up to `until`, or returns its reply when the queue is full.
    pub fn push(
        &mut self,
        request: request::Request,
        reply: pending::Reply,
        until: Instant,
    ) -> Result<(), pending::Reply> {
        if self.waiters.len() >= MAX_WAITING {
            return Err(reply);
        }
        self.waiters.push_back(Waiter {
            until,
            request,
            reply,
        });
        Ok(())
    }

    /// Takes every request; called when there is a configuration.
    pub fn take_all(&mut self) -> VecDeque<(request::Request, pending::Reply)> {
        let waiters = std::mem::take(&mut self.waiters).into_iter();
        waiters
            .map(|waiter| (waiter.request, waiter.reply))
            .collect()
    }

    /// Takes the reply of the first request when its wait is over.
    pub fn take_expired(&mut self, now: Instant) -> Option<pending::Reply> {
        let expired = self.waiters.pop_front_if(|waiter| waiter.until <= now)?;
        Some(expired.reply)
    }

    /// When [`Self::take_expired`] is due.
    pub fn wake(&self) -> Option<Instant> {
        self.waiters.front().map(|waiter| waiter.until)
    }
}
