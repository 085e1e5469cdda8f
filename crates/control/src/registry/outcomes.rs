//! Results of the latest commands, for those who proposed them.

use std::collections::VecDeque;

use masticarch_kernel::reply;
use masticarch_model::{map, outcome};

/// Results kept. A proposer asks right after the commit, so that a second's
/// worth of commands is ample.
const MAX_KEPT: usize = 8_192;

/// Results of the latest commands and those who wait for one.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Index of the first result in `kept`.
    first: u64,
    kept: VecDeque<Option<outcome::Outcome>>,
    waiting: map::Map<u64, reply::Reply<Option<outcome::Outcome>>>,
}

impl Outcomes {
    /// Starts after the entry at `index`, as after a snapshot. Whoever waits
    /// for an earlier result is told that it is not kept.
    pub fn restart(&mut self, index: u64) {
        self.first = index + 1;
        self.kept.clear();
        for (_, reply) in self.waiting.drain() {
            let _ = reply.send(None);
        }
    }

    /// Records the result of the next index; `None` for an entry without a
    /// command.
    pub fn push(&mut self, outcome: Option<outcome::Outcome>) {
        let index = self.first + self.kept.len() as u64;
        if let Some(reply) = self.waiting.remove(&index) {
            let _ = reply.send(outcome.clone());
        }
        self.kept.push_back(outcome);
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
            self.first += 1;
        }
    }

    /// Replies with the result of an index, at once or when it is applied.
    pub fn answer(&mut self, index: u64, reply: reply::Reply<Option<outcome::Outcome>>) {
        let next = self.first + self.kept.len() as u64;
        if index >= next {
            self.waiting.insert(index, reply);
            return;
        }
        let offset = index.checked_sub(self.first);
        let offset = offset.and_then(|offset| usize::try_from(offset).ok());
        let kept = offset.and_then(|offset| self.kept.get(offset));
        let _ = reply.send(kept.cloned().flatten());
    }
}
