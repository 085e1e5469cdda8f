//! Rounds of leadership confirmation.

use crate::confirmation;

/// A ticket that waits for a round.
#[derive(Debug)]
struct Waiting {
    round: u64,
    id: confirmation::Id,
}

/// Numbers the heartbeat rounds of a leader and the tickets that wait for them.
#[derive(Debug, Default)]
pub struct Rounds {
    started: u64,
    finished: u64,
    /// Last round that a ticket cannot wait for.
    urgent_round: u64,
    /// In the order of their rounds.
    waiting: Vec<Waiting>,
}

impl Rounds {
    /// Makes a ticket wait for the next round, which starts soon.
    pub fn wait(&mut self, id: confirmation::Id) {
        self.urgent_round = self.started + 1;
        self.wait_for_heartbeat(id);
    }

    /// Makes a ticket wait for the next round, which may be the next regular
    /// heartbeat.
    pub fn wait_for_heartbeat(&mut self, id: confirmation::Id) {
        let round = self.started + 1;
        self.waiting.push(Waiting { round, id });
    }

    /// Whether a round should start for tickets that cannot wait. One round is under way at a
    /// time, so that a burst of tickets shares one.
    pub fn is_due(&self) -> bool {
        self.urgent_round > self.started && self.started == self.finished
    }

    /// Starts a round and returns its number.
    pub fn start(&mut self) -> u64 {
        self.started += 1;
        self.started
    }

    /// Number of the round started last.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Takes note that a majority answered a round.
    pub fn finish(&mut self, round: u64) {
        self.finished = self.finished.max(round);
    }

    /// Takes the tickets whose round has finished.
    pub fn take_finished(&mut self) -> Vec<confirmation::Id> {
        let finished = self.finished;
        let count = self.waiting.partition_point(|wait| wait.round <= finished);
        let done = self.waiting.drain(..count);
        done.map(|wait| wait.id).collect()
    }

    /// Takes all tickets, when the leader steps down.
    pub fn take_all(&mut self) -> Vec<confirmation::Id> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|wait| wait.id).collect()
    }
}
