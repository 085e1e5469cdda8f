//! Records as they are sent between nodes.

use std::time::{Duration, Instant};

use masticarch_policy::quarantine::{crash, evidence, fingerprint, record};
use masticarch_wire::message::quarantine as wire;

/// A record for another node.
#[must_use]
pub fn to_wire(
    fingerprint: fingerprint::Fingerprint,
    record: &record::Record,
    now: Instant,
) -> wire::Record {
    let crash = |evidence: &evidence::Evidence| {
        let age = now.saturating_duration_since(evidence.at).as_millis();
        wire::Crash {
            node: evidence.crash.node,
            sequence: evidence.crash.sequence,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            target: evidence.target.clone(),
            request: evidence.request.clone(),
            conclusive: evidence.conclusive,
            cleared: evidence.cleared,
        }
    };
    wire::Record {
        head: fingerprint.head,
        body: fingerprint.body,
        service: record.service.clone(),
        crashes: record.evidence.iter().map(crash).collect(),
    }
}

/// A crash that another node has sent.
#[must_use]
pub fn from_wire(crash: wire::Crash, now: Instant) -> evidence::Evidence {
    let age = Duration::from_millis(crash.age_ms);
    evidence::Evidence {
        crash: crash::Id {
            node: crash.node,
            sequence: crash.sequence,
        },
        at: now.checked_sub(age).unwrap_or(now),
        target: crash.target,
        request: crash.request,
        conclusive: crash.conclusive,
        cleared: crash.cleared,
    }
}
