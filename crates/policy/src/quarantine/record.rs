//! Crashes under the runs of one request.

use std::time::{Duration, Instant};

use masticarch_model::name;

use super::{decision, evidence};

/// Crashes from which on a request runs in isolation.
const ISOLATION_CRASHES: usize = 2;
/// Crashes from which on a request is quarantined, if one of them is conclusive.
pub const QUARANTINE_CRASHES: usize = 3;
/// Default length of the first quarantine. Each further crash doubles it.
pub const MIN_QUARANTINE: Duration = Duration::from_secs(30);
/// Longest quarantine, without its spread.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);
/// Part of its length by which nodes prolong a quarantine at random, so that one of them
/// tries the request before the others.
const QUARANTINE_SPREAD: f64 = 0.5;
/// Most crashes that are kept for a request.
const MAX_EVIDENCE: usize = 8;
/// Time after the last crash, or the end of the quarantine, at which a record is dropped.
const RETENTION: Duration = Duration::from_mins(10);
/// Time for which a cleared record is kept, so that a late report does not bring it back.
const CLEARED_RETENTION: Duration = Duration::from_secs(30);

/// Crashes under the runs of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Service of the targets.
    pub service: name::Name,
    /// The latest crashes, in the order in which this node learnt of them.
    pub evidence: Vec<evidence::Evidence>,
    /// Version of the table at the last change that this node made; 0 when it has only
    /// learnt of changes from other nodes.
    pub version: u64,
    /// Length of the first quarantine.
    pub min_quarantine: Duration,
    /// Last change.
    pub changed: Instant,
    /// Where the end of the quarantine lies in its random spread, from 0 to 1.
    pub spread: f64,
}

impl Record {
    /// A record without crashes.
    #[must_use]
    pub const fn new(service: name::Name, min_quarantine: Duration, now: Instant) -> Self {
        Self {
            service,
            evidence: Vec::new(),
            version: 0,
            min_quarantine,
            changed: now,
            spread: 0.0,
        }
    }

    /// Crashes that count against the request.
    pub fn open_evidence(&self) -> impl Iterator<Item = &evidence::Evidence> {
        self.evidence.iter().filter(|evidence| !evidence.cleared)
    }

    /// Number of crashes that count against the request.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open_evidence().count()
    }

    /// Whether the request is known to crash targets.
    #[must_use]
    pub fn is_known_cause(&self) -> bool {
        self.count() >= QUARANTINE_CRASHES
            && self.open_evidence().any(|evidence| evidence.conclusive)
    }

    /// End of the quarantine; `None` without one.
    #[must_use]
    pub fn quarantined_until(&self) -> Option<Instant> {
        let last = self.open_evidence().map(|evidence| evidence.at).max()?;
        self.is_known_cause().then(|| last + self.quarantine())
    }

    /// Decision on the request.
    #[must_use]
    pub fn decision(&self, now: Instant) -> decision::Decision {
        match self.quarantined_until() {
            Some(until) if until > now => decision::Decision::Refuse(until - now),
            _ if self.count() >= ISOLATION_CRASHES => decision::Decision::Isolate,
            _ => decision::Decision::Run,
        }
    }

    /// Adds a crash, or merges what another node knows of a known one. Returns whether
    /// anything has changed.
    pub fn add(&mut self, evidence: evidence::Evidence) -> bool {
        let known = self
            .evidence
            .iter_mut()
            .find(|known| known.crash == evidence.crash);
        if let Some(known) = known {
            let changed =
                evidence.cleared && !known.cleared || evidence.conclusive && !known.conclusive;
            known.cleared |= evidence.cleared;
            known.conclusive |= evidence.conclusive;
            return changed;
        }
        if self.evidence.len() >= MAX_EVIDENCE {
            self.evidence.remove(0);
        }
        self.evidence.push(evidence);
        true
    }

    /// Clears the request of all crashes. Returns whether any counted against it.
    pub fn clear(&mut self) -> bool {
        let open = self.count() > 0;
        for evidence in &mut self.evidence {
            evidence.cleared = true;
        }
        open
    }

    /// Whether the record is of no more use.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        let retention = if self.count() == 0 {
            CLEARED_RETENTION
        } else {
            RETENTION
        };
        let from = self.quarantined_until().unwrap_or(self.changed);
        now.saturating_duration_since(from) >= retention
    }

    fn quarantine(&self) -> Duration {
        let doublings = self.count().saturating_sub(QUARANTINE_CRASHES);
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let length = self
            .min_quarantine
            .saturating_mul(2_u32.saturating_pow(doublings));
        let length = length.min(MAX_QUARANTINE);
        length.mul_f64(QUARANTINE_SPREAD.mul_add(self.spread, 1.0))
    }
}
