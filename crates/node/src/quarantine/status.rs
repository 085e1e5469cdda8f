//! Quarantined requests, in the form of the JSON at `/quarantine`.

use serde::Serialize;

/// A request that is quarantined, or about to be.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Short digest of its content, as in the log.
    pub fingerprint: String,
    /// Service that it is for.
    pub service: String,
    /// Milliseconds until it is tried again; `null` while it is not refused.
    pub refused_ms: Option<u128>,
    /// Crashes under its runs, the last one at the end.
    pub crashes: Vec<Crash>,
    /// Requests refused at this node since it started.
    pub refusals: u64,
    /// Ids of the last requests that were refused at this node.
    pub refused: Vec<Box<str>>,
}

/// A crash of a target.
#[derive(Clone, Debug, Serialize)]
pub struct Crash {
    /// Id of the root request that ran.
    pub request: Box<str>,
    /// The run of the target that ended, or the name of its node.
    pub target: Box<str>,
    /// Milliseconds since the crash.
    pub age_ms: u128,
}
