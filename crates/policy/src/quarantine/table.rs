//! The requests that have run at targets when they crashed.

use std::time::{Duration, Instant};

use masticarch_model::{map, name};

use super::{crash, decision, evidence, fingerprint, record, suspect};

/// Most records in a table; a record takes less than 3 KB.
const MAX_RECORDS: usize = 4096;
/// Records that are dropped at a time when the table is full.
const EVICTED_RECORDS: usize = 512;
/// Crashes without a known cause, for each crash under a request, up to which that request
/// is the likely cause.
const MAX_UNEXPLAINED_RATIO: usize = 2;

/// The requests that have run at targets when they crashed. Each node has a table; they
/// exchange what they add to it.
#[derive(Debug)]
pub struct Table {
    min_quarantine: Duration,
    records: map::Map<fingerprint::Fingerprint, record::Record>,
    version: u64,
}

impl Table {
    /// A table without records. `min_quarantine` is the length of the first quarantine of a
    /// request.
    #[must_use]
    pub fn new(min_quarantine: Duration) -> Self {
        Self {
            min_quarantine,
            records: map::Map::default(),
            version: 0,
        }
    }

    /// Decision on a request.
    #[must_use]
    pub fn decision(
        &self,
        fingerprint: fingerprint::Fingerprint,
        now: Instant,
    ) -> decision::Decision {
        let record = self.records.get(&fingerprint);
        record.map_or(decision::Decision::Run, |record| record.decision(now))
    }

    /// The record of a request.
    #[must_use]
    pub fn get(&self, fingerprint: fingerprint::Fingerprint) -> Option<&record::Record> {
        self.records.get(&fingerprint)
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (fingerprint::Fingerprint, &record::Record)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Number of the last change that this node made.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Attributes a crash of a target to those suspects that have been under most crashes
    /// before, and returns them: they are its likeliest cause.
    pub fn attribute(
        &mut self,
        suspects: &[suspect::Suspect],
        (id, target): (crash::Id, &str),
        random: f64,
        now: Instant,
    ) -> Vec<fingerprint::Fingerprint> {
        let count = |suspect: &suspect::Suspect| {
            let record = self.records.get(&suspect.fingerprint);
            record.map_or(0, record::Record::count)
        };
        let most = suspects.iter().map(count).max().unwrap_or(0);
        let causes = suspects.iter().filter(|suspect| count(suspect) == most);
        let causes: Vec<_> = causes.cloned().collect();
        let alone = causes.len() == 1 && most + 1 >= record::QUARANTINE_CRASHES;
        let conclusive = alone && self.is_likely_cause(causes[0].fingerprint);
        for suspect in &causes {
            let evidence = evidence::Evidence {
                crash: id,
                at: now,
                target: target.into(),
                request: suspect.request.clone(),
                conclusive,
                cleared: false,
            };
            self.version += 1;
            let version = self.version;
            let record = self.record(suspect.fingerprint, &suspect.service, now);
            record.add(evidence);
            record.version = version;
            record.changed = now;
            record.spread = random;
        }
        causes.iter().map(|suspect| suspect.fingerprint).collect()
    }

    /// Clears a request that has completed. Returns whether anything counted against it.
    pub fn complete(&mut self, fingerprint: fingerprint::Fingerprint, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        if !record.clear() {
            return false;
        }
        self.version += 1;
        record.version = self.version;
        record.changed = now;
        true
    }

    /// Merges what another node knows of a request. Returns whether the request has been
    /// quarantined by it.
    pub fn merge(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        service: &name::Name,
        evidence: impl Iterator<Item = evidence::Evidence>,
        random: f64,
        now: Instant,
    ) -> bool {
        let record = self.record(fingerprint, service, now);
        let was_known = record.is_known_cause();
        for evidence in evidence {
            if record.add(evidence) {
                record.changed = now;
                record.spread = random;
            }
        }
        !was_known && record.is_known_cause()
    }

    /// Drops records that are of no more use.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Whether crashes without a known cause are few, compared with those under a request
    /// since it was first a suspect. A request that is often sent, or runs for long, is
    /// under many crashes that others cause.
    fn is_likely_cause(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let Some(first) = record.open_evidence().map(|evidence| evidence.at).min() else {
            return false;
        };
        let mut unexplained: map::Map<crash::Id, bool> = map::Map::default();
        for other in self.records.values() {
            for evidence in &other.evidence {
                if other.service == record.service && evidence.at >= first {
                    let explained = !evidence.cleared && other.count() > 1;
                    *unexplained.entry(evidence.crash).or_insert(true) &= !explained;
                }
            }
        }
        let unexplained = unexplained.values().filter(|unexplained| **unexplained);
        unexplained.count() <= MAX_UNEXPLAINED_RATIO * record.count()
    }

    fn record(
        &mut self,
        fingerprint: fingerprint::Fingerprint,
        service: &name::Name,
        now: Instant,
    ) -> &mut record::Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            self.evict();
        }
        let min_quarantine = self.min_quarantine;
        self.records
            .entry(fingerprint)
            .or_insert_with(|| record::Record::new(service.clone(), min_quarantine, now))
    }

    /// Drops the oldest of the records with the fewest crashes.
    fn evict(&mut self) {
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(key, record)| (record.count(), record.changed, *key))
            .collect();
        order.sort_unstable();
        for (_, _, key) in order.into_iter().take(EVICTED_RECORDS) {
            self.records.remove(&key);
        }
    }
}
