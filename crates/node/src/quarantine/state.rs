//! State of the quarantine and its changes by messages.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::{address, reply};
use masticarch_model::{code, directory, incarnation, map, name};
use masticarch_policy::quarantine::{
    crash as id, decision, evidence, fingerprint, record, suspect, table,
};
use masticarch_wire::message::quarantine as wire;

use super::{
    convert, counters, crash, detector, filter, isolation, message, peers, refusals, report,
    status, turn,
};
use crate::{refusal, services};

/// Time between two searches for records that are of no more use.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest text that is kept to identify a target, in bytes.
const MAX_TARGET_BYTES: usize = 128;

/// State of the quarantine.
pub struct State {
    node: name::Name,
    incarnation: incarnation::Incarnation,
    own: address::Address<message::Message>,
    counters: counters::Counters,
    rng: Rng,
    filter: filter::Filter,
    crashes: u64,
    detector: detector::Detector,
    table: table::Table,
    isolations: map::Map<name::Name, isolation::Isolation>,
    /// Services whose isolated suspect has ended, but perhaps with its target.
    unsettled: map::Set<name::Name>,
    peers: peers::Peers,
    refusals: refusals::Refusals,
    next_sweep: Instant,
}

impl State {
    /// State of a node without records.
    #[must_use]
    pub fn new(services: &services::Services, counters: counters::Counters, now: Instant) -> Self {
        Self {
            node: services.options.name.clone(),
            incarnation: services.incarnation,
            own: services.quarantine.clone(),
            counters,
            rng: Rng::new(),
            filter: services.suspects.clone(),
            crashes: 0,
            detector: detector::Detector::default(),
            table: table::Table::new(services.options.min_quarantine),
            isolations: map::Map::default(),
            unsettled: map::Set::default(),
            peers: peers::Peers::default(),
            refusals: refusals::Refusals::default(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Decides whether a request may run, or lets it wait.
    pub fn begin(
        &mut self,
        suspect: suspect::Suspect,
        reply: reply::Reply<message::Decision>,
        now: Instant,
    ) {
        match self.table.decision(suspect.fingerprint, now) {
            decision::Decision::Run => {
                let _ = reply.send(Ok(None));
            }
            decision::Decision::Refuse(time) => {
                self.refusals.record(&suspect);
                let _ = reply.send(Err(quarantined(suspect.fingerprint, time)));
            }
            decision::Decision::Isolate => self.isolate(suspect, reply),
        }
    }

    fn isolate(&mut self, suspect: suspect::Suspect, reply: reply::Reply<message::Decision>) {
        let service = suspect.service.clone();
        let isolation = self.isolations.entry(service.clone()).or_default();
        if isolation.try_enter() {
            // A turn that is not received is dropped, which ends it.
            let _ = reply.send(Ok(Some(turn::Turn::new(self.own.clone(), service))));
        } else if let Err(reply) = isolation.wait(suspect, reply) {
            let _ = reply.send(Err(busy()));
        }
    }

    /// Ends the run of an isolated suspect.
    pub fn end(&mut self, service: name::Name) {
        self.unsettled.insert(service);
    }

    /// Records that a request has completed.
    pub fn complete(&mut self, fingerprint: fingerprint::Fingerprint, now: Instant) {
        let was_known = self.is_known_cause(fingerprint);
        if self.table.complete(fingerprint, now) {
            if was_known {
                report::released(fingerprint);
            }
            self.update_filter();
        }
    }

    /// The detector of crashes.
    pub const fn detector(&mut self) -> &mut detector::Detector {
        &mut self.detector
    }

    /// Installs a directory.
    pub fn install(&mut self, directory: &directory::Directory, now: Instant) {
        self.peers.install(directory, &self.node, now);
    }

    /// Merges what another node knows.
    pub fn merge(&mut self, batch: wire::Batch, now: Instant) {
        for record in batch.records {
            let fingerprint = fingerprint::Fingerprint {
                head: record.head,
                body: record.body,
            };
            let spread = self.rng.f64();
            let evidence = record.crashes.into_iter();
            let evidence = evidence.map(|crash| convert::from_wire(crash, now));
            let (table, service) = (&mut self.table, record.service);
            if table.merge(fingerprint, &service, evidence, spread, now) {
                self.report_quarantine(fingerprint, "another node");
            }
        }
        self.update_filter();
    }

    /// Takes a batch for another node that is due.
    pub fn take_push(&mut self, now: Instant) -> Option<peers::Push> {
        self.peers.take_due(&self.table, now)
    }

    /// Records whether a node has acknowledged a batch.
    pub fn pushed(
        &mut self,
        node: &name::Name,
        incarnation: incarnation::Incarnation,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        self.peers.pushed(node, incarnation, acknowledged, now);
    }

    /// Handles everything that is due.
    pub fn tick(&mut self, now: Instant) {
        while let Some(crash) = self.detector.take_crash(now) {
            self.attribute(&crash, now);
        }
        self.release_isolated(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.table.expire(now);
            self.refusals
                .retain(|fingerprint| self.table.get(fingerprint).is_some());
            self.update_filter();
        }
    }

    /// When [`Self::tick`] or [`Self::take_push`] is due.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        let sweep = (!self.table.is_empty()).then_some(self.next_sweep);
        let push = self.peers.wake(self.table.version());
        [self.detector.wake(), push, sweep]
            .into_iter()
            .flatten()
            .min()
    }

    /// The requests that are quarantined or run in isolation.
    #[must_use]
    pub fn status(&self, now: Instant) -> Vec<status::Status> {
        self.table
            .iter()
            .filter(|(_, record)| record.decision(now) != decision::Decision::Run)
            .map(|(fingerprint, record)| self.describe(fingerprint, record, now))
            .collect()
    }

    fn describe(
        &self,
        fingerprint: fingerprint::Fingerprint,
        record: &record::Record,
        now: Instant,
    ) -> status::Status {
        let crash = |evidence: &evidence::Evidence| status::Crash {
            request: evidence.request.clone(),
            target: evidence.target.clone(),
            age_ms: now.saturating_duration_since(evidence.at).as_millis(),
        };
        let until = record.quarantined_until();
        let (refusals, refused) = self.refusals.get(fingerprint);
        status::Status {
            fingerprint: fingerprint.to_string(),
            service: record.service.to_string(),
            refused_ms: until.map(|until| until.saturating_duration_since(now).as_millis()),
            crashes: record.open_evidence().map(crash).collect(),
            refusals,
            refused,
        }
    }

    fn attribute(&mut self, crash: &crash::Crash, now: Instant) {
        self.counters.crashed(&crash.service);
        self.crashes += 1;
        let id = id::Id {
            node: self.incarnation,
            sequence: self.crashes,
        };
        let target = crash.run.as_deref().unwrap_or(&self.node);
        let target = &target[..target.floor_char_boundary(MAX_TARGET_BYTES)];
        let spread = self.rng.f64();
        let causes = self
            .table
            .attribute(&crash.suspects, (id, target), spread, now);
        report::crashed(crash, &causes);
        for fingerprint in causes {
            if self.is_known_cause(fingerprint) {
                self.report_quarantine(fingerprint, "this node");
            }
        }
        self.update_filter();
    }

    /// Lets the next suspects run, where the target has outlived the one before.
    fn release_isolated(&mut self, now: Instant) {
        let settled: Vec<_> = self
            .unsettled
            .iter()
            .filter(|service| !self.detector.is_settling(service))
            .cloned()
            .collect();
        for service in settled {
            self.unsettled.remove(&service);
            let Some(isolation) = self.isolations.get_mut(&service) else {
                continue;
            };
            let mut next = isolation.leave();
            while let Some((suspect, reply)) = next {
                // Decided again: the suspect may be quarantined by now.
                self.begin(suspect, reply, now);
                let isolation = self.isolations.get_mut(&service);
                next = isolation.and_then(isolation::Isolation::take_waiting_if_free);
            }
        }
    }

    fn update_filter(&mut self) {
        let suspects = self.table.iter().filter(|(_, record)| record.count() > 0);
        self.filter.replace(suspects.map(|(key, _)| key.head));
        let known = self
            .table
            .iter()
            .filter(|(_, record)| record.is_known_cause());
        self.counters.set_quarantined(known.count());
    }

    fn is_known_cause(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        let record = self.table.get(fingerprint);
        record.is_some_and(record::Record::is_known_cause)
    }

    fn report_quarantine(&self, fingerprint: fingerprint::Fingerprint, source: &'static str) {
        if let Some(record) = self.table.get(fingerprint) {
            report::quarantined(fingerprint, record, source);
        }
    }
}

fn quarantined(fingerprint: fingerprint::Fingerprint, time: Duration) -> refusal::Refusal {
    let detail = format!("targets that ran this request have crashed, see {fingerprint}");
    refusal::Refusal {
        retry_after: Some(Duration::from_secs(time.as_secs() + 1)),
        ..refusal::Refusal::new(code::Code::Quarantined, detail)
    }
}

fn busy() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::Overloaded,
        "too many requests that may crash the target wait for it",
    )
}
