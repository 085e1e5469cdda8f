//! Requests that came before the node had its first configuration.

use std::collections::VecDeque;
use std::time::Instant;

use crate::gate::{pending, request};

/// Most requests that are parked; bounds memory at a start under load.
const MOST: usize = 256;

/// A request that came too early.
#[derive(Debug)]
struct Early {
    until: Instant,
    request: request::Request,
    reply: pending::Reply,
}

/// Requests that came before the node had its first configuration, in the order
/// of arrival. All wait equally long.
#[derive(Debug, Default)]
pub struct Parked {
    early: VecDeque<Early>,
}

impl Parked {
    /// Parks a request until a moment, or gives its reply back where there is
    /// no room.
    pub fn park(
        &mut self,
        request: request::Request,
        reply: pending::Reply,
        until: Instant,
    ) -> Result<(), pending::Reply> {
        if self.early.len() >= MOST {
            return Err(reply);
        }
        self.early.push_back(Early {
            until,
            request,
            reply,
        });
        Ok(())
    }

    /// Takes every request, once there is a configuration.
    pub fn take_all(&mut self) -> VecDeque<(request::Request, pending::Reply)> {
        let early = std::mem::take(&mut self.early).into_iter();
        early.map(|early| (early.request, early.reply)).collect()
    }

    /// Takes the reply of a request that has waited long enough.
    pub fn take_expired(&mut self, now: Instant) -> Option<pending::Reply> {
        let expired = self.early.pop_front_if(|early| early.until <= now)?;
        Some(expired.reply)
    }

    /// When [`Self::take_expired`] is due.
    pub fn wake(&self) -> Option<Instant> {
        self.early.front().map(|early| early.until)
    }
}
