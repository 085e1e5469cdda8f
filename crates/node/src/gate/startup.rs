//! Requests that came before the node had its first configuration.

use std::collections::VecDeque;
use std::time::Instant;

use crate::gate::{pending, request};

/// Most requests that are parked; bounds memory at a start under load.
const MAX_WAITING: usize = 256;

/// A request that came too early.
#[derive(Debug)]
struct Waiter {
    until: Instant,
    request: request::Request,
    reply: pending::Reply,
}

/// Requests that came before the node had its first configuration, in the order
/// of arrival. All wait equally long.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: VecDeque<Waiter>,
}

impl Queue {
    /// Parks a request until a moment, or gives its reply back where there is
    /// no room.
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

    /// Takes every request, once there is a configuration.
    pub fn take_all(&mut self) -> VecDeque<(request::Request, pending::Reply)> {
        let waiters = std::mem::take(&mut self.waiters).into_iter();
        waiters
            .map(|waiter| (waiter.request, waiter.reply))
            .collect()
    }

    /// Takes the reply of a request that has waited long enough.
    pub fn take_expired(&mut self, now: Instant) -> Option<pending::Reply> {
        let expired = self.waiters.pop_front_if(|waiter| waiter.until <= now)?;
        Some(expired.reply)
    }

    /// When [`Self::take_expired`] is due.
    pub fn wake(&self) -> Option<Instant> {
        self.waiters.front().map(|waiter| waiter.until)
    }
}
