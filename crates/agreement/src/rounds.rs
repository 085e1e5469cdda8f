//! Heartbeat rounds that confirm leadership.

use crate::confirmation;

/// A request for a confirmation, and the round that it waits for.
#[derive(Debug)]
struct Waiting {
    round: u64,
    id: confirmation::Id,
}

/// Numbers the heartbeat rounds of a leader, and keeps the requests for a
/// confirmation that wait for them.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Number of the round started last, or 0.
    started: u64,
    /// Latest round that a majority has answered, or 0.
    finished: u64,
    /// Latest round that must not wait for the next regular heartbeat, or 0.
    urgent_round: u64,
    /// In the order of their rounds.
    waiting: Vec<Waiting>,
}

impl Rounds {
    /// Makes a request wait for the next round, which starts as soon as no other
    /// round is in flight.
    pub fn wait(&mut self, id: confirmation::Id) {
        self.urgent_round = self.started + 1;
        self.wait_for_heartbeat(id);
    }

    /// Makes a request wait for the next round, which may be the next regular
    /// heartbeat.
    pub fn wait_for_heartbeat(&mut self, id: confirmation::Id) {
        let round = self.started + 1;
        self.waiting.push(Waiting { round, id });
    }

    /// Whether a round should start without waiting for the next regular
    /// heartbeat. One round is in flight at a time, so that a burst of requests
    /// shares one.
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

    /// Notes that a majority has answered a round.
    pub fn finish(&mut self, round: u64) {
        self.finished = self.finished.max(round);
    }

    /// Takes the requests whose round has finished.
    pub fn take_finished(&mut self) -> Vec<confirmation::Id> {
        let finished = self.finished;
        let count = self.waiting.partition_point(|wait| wait.round <= finished);
        let done = self.waiting.drain(..count);
        done.map(|wait| wait.id).collect()
    }

    /// Takes all requests, when the leader steps down.
    pub fn take_all(&mut self) -> Vec<confirmation::Id> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|wait| wait.id).collect()
    }
}
