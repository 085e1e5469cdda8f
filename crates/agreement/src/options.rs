//! Options of the Raft state machine.

use std::time::Duration;

use bon::Builder;

/// Options of the Raft state machine. The defaults suit one-way latencies up to some
/// 30 ms.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Options {
    /// Shortest wait for a leader before an election.
    #[builder(default = Duration::from_millis(300))]
    pub election_timeout_min: Duration,
    /// Longest wait for a leader before an election. A leader that hears from
    /// no majority for this long steps down.
    #[builder(default = Duration::from_millis(600))]
    pub election_timeout_max: Duration,
    /// Interval of a leader's heartbeats.
    #[builder(default = Duration::from_millis(75))]
    pub heartbeat_interval: Duration,
    /// A leader whose disk finishes no write for this long steps down, because it
    /// hands out no entry before its own disk holds it. It cannot win an election
    /// before a write succeeds.
    #[builder(default = Duration::from_secs(2))]
    pub write_timeout: Duration,
    /// Largest size of the entries in one message, in bytes; a single larger
    /// entry is sent alone.
    #[builder(default = 1 << 20)]
    pub batch_bytes: usize,
    /// Largest number of entries sent to a member but not acknowledged by it.
    #[builder(default = 4096)]
    pub window_entries: u64,
    /// Largest size in bytes of the entries sent to a member but not acknowledged by
    /// it. Beyond it no batch is begun, so that up to one batch more may be in flight.
    #[builder(default = 4 << 20)]
    pub window_bytes: u64,
    /// Largest number of entries that wait for a majority; beyond it, proposals
    /// are refused.
    #[builder(default = 16_384)]
    pub max_uncommitted_entries: u64,
    /// Size of a snapshot chunk in bytes. One chunk is in flight at a time, so
    /// 256 KiB over a round trip of 24 ms gives about 10 MB/s.
    #[builder(default = 256 << 10)]
    pub chunk_bytes: usize,
    /// Number of entries kept in memory although a snapshot covers them, so that
    /// a member slightly behind needs no snapshot.
    #[builder(default = 4096)]
    pub retained_entries: u64,
    /// Largest size in bytes of the entries that are kept so. Entries hold whole
    /// configurations, so a number of them does not bound the memory.
    #[builder(default = 16 << 20)]
    pub retained_bytes: u64,
    /// How many entries a learner may lack when it is given a vote.
    #[builder(default = 100)]
    pub max_promotion_lag: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self::builder().build()
    }
}
