//! State of the quarantine and its changes by messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::{address, reply};
use masticarch_model::{code, directory, incarnation, map, name};
use masticarch_policy::quarantine::{crash as evidence, fingerprint, record, table, verdict};
use masticarch_wire::message::quarantine as wire;

use super::{
    convert, counters, crash, detector, filter, isolation, message, peers, status, subject, turn,
};
use crate::{refusal, services};

/// Time between two searches for records that are of no more use.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Most suspects of a crash that its line in the log names.
const MAX_LOGGED_SUSPECTS: usize = 16;
/// Most ids of refused requests that are kept for each record.
const MAX_REFUSED_IDS: usize = 8;

/// Requests that were refused because of one record.
#[derive(Debug, Default)]
struct Refused {
    count: u64,
    last: VecDeque<Box<str>>,
}

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
    refused: map::Map<fingerprint::Fingerprint, Refused>,
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
            refused: map::Map::default(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Decides whether a request may run, or lets it wait.
    pub fn begin(
        &mut self,
        subject: subject::Subject,
        reply: reply::Reply<message::Decision>,
        now: Instant,
    ) {
        match self.table.verdict(subject.fingerprint, now) {
            verdict::Verdict::Pass => {
                let _ = reply.send(Ok(None));
            }
            verdict::Verdict::Refuse(time) => {
                self.record_refusal(&subject);
                let _ = reply.send(Err(quarantined(subject.fingerprint, time)));
            }
            verdict::Verdict::Isolate => self.isolate(subject, reply),
        }
    }

    fn isolate(&mut self, subject: subject::Subject, reply: reply::Reply<message::Decision>) {
        let service = subject.service.clone();
        let isolation = self.isolations.entry(service.clone()).or_default();
        if isolation.try_enter() {
            // A turn that is not received is dropped, which ends it.
            let _ = reply.send(Ok(Some(turn::Turn::new(self.own.clone(), service))));
        } else if let Err(reply) = isolation.wait(subject, reply) {
            let _ = reply.send(Err(busy()));
        }
    }

    /// Ends the run of an isolated suspect.
    pub fn end(&mut self, service: name::Name) {
        self.unsettled.insert(service);
    }

    /// Records that a request has completed.
    pub fn complete(&mut self, fingerprint: fingerprint::Fingerprint, now: Instant) {
        let record = self.table.get(fingerprint);
        let convicted = record.is_some_and(record::Record::is_convicted);
        if self.table.complete(fingerprint, now) {
            if convicted {
                tracing::info!(%fingerprint, "request completed, its quarantine ends");
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
            let crashes = record.crashes.into_iter();
            let crashes = crashes.map(|crash| convert::from_wire(crash, now));
            let service = record.service;
            if self
                .table
                .merge(fingerprint, &service, crashes, spread, now)
            {
                self.log_conviction(fingerprint, "another node");
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
            self.blame(&crash, now);
        }
        self.release_isolated(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.table.expire(now);
            self.refused
                .retain(|fingerprint, _| self.table.get(*fingerprint).is_some());
            self.update_filter();
        }
    }

    /// When [`Self::tick`] or [`Self::take_push`] is due.
    pub fn wake(&self) -> Instant {
        let wakes = [self.detector.wake(), self.peers.wake(self.table.version())];
        wakes
            .into_iter()
            .flatten()
            .fold(self.next_sweep, Instant::min)
    }

    /// The requests that are quarantined or run in isolation.
    #[must_use]
    pub fn status(&self, now: Instant) -> Vec<status::Status> {
        self.table
            .iter()
            .filter(|(_, record)| record.verdict(now) != verdict::Verdict::Pass)
            .map(|(fingerprint, record)| self.describe(fingerprint, record, now))
            .collect()
    }

    fn describe(
        &self,
        fingerprint: fingerprint::Fingerprint,
        record: &record::Record,
        now: Instant,
    ) -> status::Status {
        let crash = |crash: &evidence::Crash| status::Crash {
            request: crash.request.clone(),
            target: crash.target.clone(),
            age_ms: now.saturating_duration_since(crash.at).as_millis(),
        };
        let until = record.quarantined_until();
        let refused = self.refused.get(&fingerprint);
        status::Status {
            fingerprint: fingerprint.to_string(),
            service: record.service.to_string(),
            refused_ms: until.map(|until| until.saturating_duration_since(now).as_millis()),
            crashes: record.open_crashes().map(crash).collect(),
            refusals: refused.map_or(0, |refused| refused.count),
            refused: refused
                .map_or_else(Vec::new, |refused| refused.last.iter().cloned().collect()),
        }
    }

    fn blame(&mut self, crash: &crash::Crash, now: Instant) {
        self.counters.crashed(&crash.service);
        self.crashes += 1;
        let id = evidence::Id {
            node: self.incarnation,
            sequence: self.crashes,
        };
        let target = crash.run.as_deref().unwrap_or(&self.node);
        let suspects: Vec<_> = crash
            .suspects
            .iter()
            .map(subject::Subject::suspect)
            .collect();
        let convicted = |table: &table::Table, key: fingerprint::Fingerprint| {
            table.get(key).is_some_and(record::Record::is_convicted)
        };
        let spread = self.rng.f64();
        let blamed = self
            .table
            .blame(&crash.service, &suspects, (id, target), spread, now);
        log_crash(crash, &blamed);
        for fingerprint in blamed {
            if convicted(&self.table, fingerprint) {
                self.log_conviction(fingerprint, "this node");
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
            while let Some((subject, reply)) = next {
                // Decided again: the suspect may have been convicted meanwhile.
                self.begin(subject, reply, now);
                let isolation = self.isolations.get_mut(&service);
                next = isolation.and_then(isolation::Isolation::take_waiting_if_free);
            }
        }
    }

    fn record_refusal(&mut self, subject: &subject::Subject) {
        let refused = self.refused.entry(subject.fingerprint).or_default();
        refused.count += 1;
        if refused.last.len() >= MAX_REFUSED_IDS {
            refused.last.pop_front();
        }
        refused.last.push_back(subject.request.clone());
    }

    fn update_filter(&mut self) {
        let suspects = self.table.iter().filter(|(_, record)| record.count() > 0);
        self.filter.replace(suspects.map(|(key, _)| key.head));
        let convicted = self
            .table
            .iter()
            .filter(|(_, record)| record.is_convicted());
        self.counters.set_quarantined(convicted.count());
    }

    fn log_conviction(&self, fingerprint: fingerprint::Fingerprint, source: &'static str) {
        let Some(record) = self.table.get(fingerprint) else {
            return;
        };
        let requests: Vec<_> = record.open_crashes().map(|crash| &*crash.request).collect();
        let targets: Vec<_> = record.open_crashes().map(|crash| &*crash.target).collect();
        tracing::warn!(
            %fingerprint,
            service = %record.service,
            source,
            requests = requests.join(" "),
            targets = targets.join(" "),
            "request quarantined"
        );
    }
}

fn log_crash(crash: &crash::Crash, blamed: &[fingerprint::Fingerprint]) {
    let describe = |suspect: &subject::Subject| {
        let team = suspect.team.as_deref().unwrap_or("-");
        format!("{}/{}/{team}", suspect.fingerprint, suspect.request)
    };
    let suspects = crash.suspects.iter();
    let blamed = suspects.filter(|suspect| blamed.contains(&suspect.fingerprint));
    let blamed: Vec<_> = blamed.take(MAX_LOGGED_SUSPECTS).map(describe).collect();
    tracing::warn!(
        service = %crash.service,
        run = crash.run.as_deref(),
        running = crash.suspects.len(),
        suspects = blamed.join(" "),
        "target crashed while it ran requests"
    );
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
