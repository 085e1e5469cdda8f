//! Runs suspects at a target one at a time.

use std::collections::VecDeque;

use masticarch_kernel::reply;
use masticarch_policy::quarantine::suspect;

use super::message;

/// Most requests that wait for one target.
const MAX_WAITING: usize = 64;

/// Reply to a suspect that asks whether it may run.
pub type Reply = reply::Reply<message::Decision>;

/// The suspects that run in isolation at one target: one at a time.
#[derive(Debug, Default)]
pub struct Isolation {
    is_running: bool,
    waiting: VecDeque<(suspect::Suspect, Reply)>,
}

impl Isolation {
    /// Takes the place of the running suspect if it is free.
    pub const fn try_enter(&mut self) -> bool {
        !std::mem::replace(&mut self.is_running, true)
    }

    /// Lets a suspect wait for the place.
    ///
    /// # Errors
    /// The reply, when too many wait already.
    pub fn wait(&mut self, suspect: suspect::Suspect, reply: Reply) -> Result<(), Reply> {
        self.waiting.retain(|(_, reply)| !reply.is_canceled());
        if self.waiting.len() >= MAX_WAITING {
            return Err(reply);
        }
        self.waiting.push_back((suspect, reply));
        Ok(())
    }

    /// Frees the place, and takes a suspect that waits for it.
    pub fn leave(&mut self) -> Option<(suspect::Suspect, Reply)> {
        self.is_running = false;
        self.take_waiting()
    }

    /// Takes a suspect that waits if none runs.
    pub fn take_waiting_if_free(&mut self) -> Option<(suspect::Suspect, Reply)> {
        if self.is_running {
            return None;
        }
        self.take_waiting()
    }

    /// Takes a suspect that waits, and whose caller still does.
    fn take_waiting(&mut self) -> Option<(suspect::Suspect, Reply)> {
        while let Some((suspect, reply)) = self.waiting.pop_front() {
            if !reply.is_canceled() {
                return Some((suspect, reply));
            }
        }
        None
    }
}
