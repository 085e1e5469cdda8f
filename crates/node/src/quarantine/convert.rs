//! Records as they are sent between nodes.

use std::time::{Duration, Instant};

use masticarch_policy::quarantine::{crash, fingerprint, record};
use masticarch_wire::message::quarantine as wire;

/// A record for another node.
#[must_use]
pub fn to_wire(
    fingerprint: fingerprint::Fingerprint,
    record: &record::Record,
    now: Instant,
) -> wire::Record {
    let crash = |crash: &crash::Crash| wire::Crash {
        node: crash.id.node,
        sequence: crash.id.sequence,
        age_ms: u64::try_from(now.saturating_duration_since(crash.at).as_millis())
            .unwrap_or(u64::MAX),
        target: crash.target.clone(),
        request: crash.request.clone(),
        conclusive: crash.conclusive,
        cleared: crash.cleared,
    };
    wire::Record {
        head: fingerprint.head,
        body: fingerprint.body,
        service: record.service.clone(),
        crashes: record.crashes.iter().map(crash).collect(),
    }
}

/// A crash that another node has sent.
#[must_use]
pub fn from_wire(crash: wire::Crash, now: Instant) -> crash::Crash {
    let age = Duration::from_millis(crash.age_ms);
    crash::Crash {
        id: crash::Id {
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
