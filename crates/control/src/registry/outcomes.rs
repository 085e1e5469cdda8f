//! Results of the latest commands, kept for their proposers.

use std::collections::VecDeque;

use masticarch_kernel::reply;
use masticarch_model::{map, outcome};

/// Number of results kept. A proposer asks right after the commit, so the commands
/// of one second are more than enough.
const MAX_KEPT: usize = 8_192;

/// Most bytes of findings and answers in the results that are kept. One result has a few
/// KiB at most.
const MAX_DETAIL_BYTES: usize = 4 << 20;

/// Results of the latest commands, and the requests that wait for later ones.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Index of the first result in `kept`.
    first: u64,
    /// `None` for an entry without a command.
    kept: VecDeque<Option<outcome::Outcome>>,
    /// Bytes of findings and answers in `kept`.
    detail_bytes: usize,
    /// Replies by the index that they wait for.
    waiting: map::Map<u64, reply::Reply<Option<outcome::Outcome>>>,
}

impl Outcomes {
    /// Starts over after the entry at `index`, as after a snapshot. All waiting
    /// requests get `None`.
    pub fn restart(&mut self, index: u64) {
        self.first = index + 1;
        self.kept.clear();
        self.detail_bytes = 0;
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
        self.detail_bytes += detail_bytes(outcome.as_ref());
        self.kept.push_back(outcome);
        while self.kept.len() > MAX_KEPT || self.detail_bytes > MAX_DETAIL_BYTES {
            let oldest = self.kept.pop_front().flatten();
            self.detail_bytes -= detail_bytes(oldest.as_ref());
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

fn detail_bytes(outcome: Option<&outcome::Outcome>) -> usize {
    outcome.map_or(0, outcome::Outcome::detail_bytes)
}
