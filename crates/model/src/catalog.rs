//! The replicated state machine, which holds configuration, membership and claims.

mod cancelled;
mod change_log;
mod claim_table;
mod delta_log;
mod departures;
mod fleet;
mod reference;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{
    attempt, change, check, claim, code, command, configuration, delta, document, edit, finding,
    incarnation, name, node, outcome, renewal, run, settlement, target, version, view,
};

pub use change_log::Record;

/// Most findings in the result of one faulty change. The bound keeps a large
/// faulty document from filling the log of changes, which stores results.
pub const MAX_FINDINGS: usize = 100;

quick_error! {
    /// Why a snapshot cannot be encoded or decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The catalog cannot be encoded, or the bytes are not an encoding of one.
        Codec(source: postcard::Error) {
            from()
            source(source)
            display("snapshot of the catalog cannot be read or written: {source}")
        }
    }
}

/// The state machine that every member of the control group applies the replicated
/// log to. It is deterministic: the same sequence of commands gives the same state
/// on every member, and nothing here reads a clock or uses random numbers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Catalog {
    view: view::View,
    fleet: fleet::Fleet,
    changes: change_log::ChangeLog,
    claims: claim_table::ClaimTable,
    /// The document that the current configuration was made from; `None` when it was
    /// not made from a document of another system.
    document: Option<document::Document>,
    /// Follows the other fields in a snapshot, because earlier snapshots end without it.
    #[serde(skip)]
    departures: departures::Departures,
    /// Not part of a snapshot: a node whose version is older than the snapshot
    /// receives the whole view.
    #[serde(skip)]
    deltas: delta_log::DeltaLog,
}

impl Catalog {
    /// Makes an empty catalog at version 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The published part of the state, which nodes receive.
    #[must_use]
    pub const fn view(&self) -> &view::View {
        &self.view
    }

    /// Index of the last applied log entry.
    #[must_use]
    pub const fn version(&self) -> version::Version {
        self.view.version
    }

    /// Version of the newest published delta.
    #[must_use]
    pub fn published(&self) -> version::Version {
        self.deltas.newest()
    }

    /// Deltas after the version that a node holds; `None` when some of them are no
    /// longer kept, or when `held` is 0 because the node holds nothing yet.
    #[must_use]
    pub fn deltas_since(&self, held: version::Version) -> Option<Vec<delta::Delta>> {
        if held >= self.view.version {
            return Some(Vec::new());
        }
        if held == version::Version::default() {
            return None;
        }
        self.deltas.since(held)
    }

    /// The latest accepted changes, newest first.
    pub fn history(&self) -> impl Iterator<Item = &Record> {
        self.changes.accepted()
    }

    /// The document that the current configuration was made from, if any.
    #[must_use]
    pub const fn document(&self) -> Option<&document::Document> {
        self.document.as_ref()
    }

    /// A present node with its targets.
    #[must_use]
    pub fn node(&self, name: &name::Name) -> Option<&view::Entry> {
        self.fleet.entry(name)
    }

    /// The targets as they are published when an incarnation announces them. All
    /// are draining when an operator has asked the node to drain.
    #[must_use]
    pub fn effective_targets(
        &self,
        incarnation: incarnation::Incarnation,
        mut targets: Vec<target::Target>,
    ) -> Vec<target::Target> {
        if self.fleet.is_draining(incarnation) {
            for target in &mut targets {
                target.state = target::State::Draining;
            }
        }
        targets
    }

    /// The targets that a node announces, with those of departed runs marked as
    /// draining. `renewals` are those of the targets that identify their runs.
    #[must_use]
    pub fn without_departed(
        &self,
        node: &name::Name,
        mut targets: Vec<target::Target>,
        renewals: &[renewal::Renewal],
    ) -> Vec<target::Target> {
        self.departures.mark(node, &mut targets, renewals);
        targets
    }

    /// Those of the runs at a node whose departure is not recorded.
    #[must_use]
    pub fn unrecorded(&self, node: &name::Name, departed: Vec<run::Run>) -> Vec<run::Run> {
        let is_new = |run: &run::Run| !self.departures.contains(node, run);
        departed.into_iter().filter(is_new).collect()
    }

    /// The claim on a subject, running or settled.
    #[must_use]
    pub fn claim(&self, subject: &claim::Subject) -> Option<&claim::Claim> {
        self.claims.get(subject)
    }

    /// Subjects of up to `count` claims that were settled at or before a version,
    /// oldest first.
    #[must_use]
    pub fn settled_until(&self, version: version::Version, count: usize) -> Vec<claim::Subject> {
        self.claims.settled_until(version, count)
    }

    /// Advances the version for a log entry without a command, such as the one that
    /// a new leader appends.
    pub fn advance(&mut self, index: u64) {
        self.view.version = version::Version(index);
    }

    /// Applies the command at a log index and returns its outcome.
    pub fn apply(&mut self, index: u64, command: command::Command) -> outcome::Outcome {
        self.advance(index);
        match command {
            command::Command::Change(change) => self.change(change),
            command::Command::Join(node) => self.join(node),
            command::Command::Expire(nodes) => self.remove(nodes),
            command::Command::Leave(name, incarnation) => self.remove(vec![(name, incarnation)]),
            command::Command::Announce(name, incarnation, targets) => {
                self.announce(name, incarnation, targets)
            }
            command::Command::Claim(subject, digest, attempt) => {
                self.make_claim(subject, digest, attempt)
            }
            command::Command::Settle(subject, attempt, settlement) => {
                self.settle(&subject, attempt, settlement)
            }
            command::Command::Forget(subjects) => {
                self.claims.forget(&subjects);
                outcome::Outcome::Applied
            }
            command::Command::Drain(name) => self.drain(&name),
            command::Command::Control(addresses) => {
                self.publish(delta::Delta::Control(addresses));
                outcome::Outcome::Applied
            }
            command::Command::Depart(node, runs) => {
                self.departures.record(node, runs);
                outcome::Outcome::Applied
            }
        }
    }

    /// The outcome that a change would have if it were the next command.
    #[must_use]
    pub fn check(&self, change: &change::Change) -> outcome::Outcome {
        match self.validate(change) {
            Ok(()) => outcome::Outcome::Changed(version::Version(self.view.version.0 + 1)),
            Err(refused) => refused,
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// [`Error::Codec`] when the state cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_allocvec(self)?;
        Ok(postcard::to_extend(&self.departures, bytes)?)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    /// [`Error::Codec`] when the bytes are not an encoding of a catalog.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (mut catalog, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            catalog.departures = postcard::from_bytes(rest)?;
        }
        catalog.changes.recount();
        catalog.deltas = delta_log::DeltaLog::starting_at(catalog.view.version);
        Ok(catalog)
    }

    fn change(&mut self, change: change::Change) -> outcome::Outcome {
        if let Some(first) = self.changes.result(change.id) {
            return first.clone();
        }
        let result = match self.validate(&change) {
            Ok(()) => outcome::Outcome::Changed(self.view.version),
            Err(refused) => refused,
        };
        // A refused document is not recorded: it may be sent again, and be accepted,
        // once the document that it is based on has been accepted.
        let accepted = matches!(result, outcome::Outcome::Changed(_));
        if accepted || change.document.is_none() {
            self.changes.record(&change, result.clone());
        }
        if let outcome::Outcome::Changed(version) = result {
            let edits = self.published_edits(change.edits);
            self.document = change.document;
            self.publish(delta::Delta::Configuration(version, edits));
        }
        result
    }

    /// Checks a change against the current configuration; the error is the outcome
    /// of a change that is not accepted.
    fn validate(&self, change: &change::Change) -> Result<(), outcome::Outcome> {
        self.check_base(change)?;
        let mut findings = findings(&self.view.configuration, &change.edits);
        findings.truncate(MAX_FINDINGS);
        if findings.is_empty() {
            return Ok(());
        }
        Err(outcome::Outcome::Faulty(findings))
    }

    /// Compares the version that a change is based on with the current one.
    fn check_base(&self, change: &change::Change) -> Result<(), outcome::Outcome> {
        let current = self.document.as_ref().map_or(0, |document| document.number);
        let matches = match &change.document {
            Some(document) => document.base == current && document.number > current,
            None => change.expected == self.view.configuration_version,
        };
        if matches {
            return Ok(());
        }
        Err(outcome::Outcome::Conflict(self.view.configuration_version))
    }

    /// The edits to publish. A whole configuration is reduced to the objects that
    /// differ, because every node receives the edits.
    fn published_edits(&self, edits: Vec<edit::Edit>) -> Vec<edit::Edit> {
        match edits.as_slice() {
            [edit::Edit::Replace(whole)] => self.view.configuration.edits_to(whole),
            _ => edits,
        }
    }

    fn join(&mut self, node: node::Node) -> outcome::Outcome {
        match self.fleet.join(&node) {
            fleet::Joining::Present => return outcome::Outcome::Applied,
            fleet::Joining::Superseded => {
                return outcome::Outcome::Refused(code::Code::VersionConflict);
            }
            fleet::Joining::New => {}
            fleet::Joining::Replaces(earlier) => self.claims.orphan(earlier, self.view.version),
        }
        self.publish(delta::Delta::Joined(node));
        outcome::Outcome::Applied
    }

    fn remove(
        &mut self,
        mut nodes: Vec<(name::Name, incarnation::Incarnation)>,
    ) -> outcome::Outcome {
        nodes.retain(|(name, incarnation)| self.fleet.remove(name, *incarnation));
        for (_, incarnation) in &nodes {
            self.claims.orphan(*incarnation, self.view.version);
        }
        if !nodes.is_empty() {
            self.publish(delta::Delta::Left(nodes));
        }
        outcome::Outcome::Applied
    }

    fn announce(
        &mut self,
        name: name::Name,
        incarnation: incarnation::Incarnation,
        targets: Vec<target::Target>,
    ) -> outcome::Outcome {
        if !self.fleet.has(&name, incarnation) {
            return outcome::Outcome::Refused(code::Code::NoSuchObject);
        }
        let targets = self.effective_targets(incarnation, targets);
        let known = self.node(&name);
        if known.is_some_and(|entry| entry.targets != targets) {
            self.fleet.announce(&name, &targets);
            self.publish(delta::Delta::Announced(name, incarnation, targets));
        }
        outcome::Outcome::Applied
    }

    fn drain(&mut self, name: &name::Name) -> outcome::Outcome {
        let Some(incarnation) = self.fleet.drain(name) else {
            return outcome::Outcome::Refused(code::Code::NoSuchObject);
        };
        let targets = self.node(name).map(|entry| entry.targets.clone());
        self.announce(name.clone(), incarnation, targets.unwrap_or_default())
    }

    fn make_claim(
        &mut self,
        subject: claim::Subject,
        digest: [u8; 32],
        attempt: attempt::Attempt,
    ) -> outcome::Outcome {
        // An incarnation that has left cannot settle the claim, and the claim would
        // not become `Unknown`, because that happens when the incarnation leaves.
        if !self.fleet.is_present(attempt.node) {
            return outcome::Outcome::Refused(code::Code::ClaimUnavailable);
        }
        self.claims.claim(subject, digest, attempt)
    }

    fn settle(
        &mut self,
        subject: &claim::Subject,
        attempt: attempt::Attempt,
        settlement: settlement::Settlement,
    ) -> outcome::Outcome {
        self.claims
            .settle(subject, attempt, settlement, self.view.version)
    }

    fn publish(&mut self, delta: delta::Delta) {
        self.view.apply(&delta);
        self.deltas.push(self.view.version, delta);
    }
}

/// The faults that the configuration would have after a list of edits.
fn findings(current: &configuration::Configuration, edits: &[edit::Edit]) -> Vec<finding::Finding> {
    let mut edited = current.clone();
    let missing: Vec<_> = edits
        .iter()
        .filter_map(|edit| edited.edit(edit).err())
        .collect();
    if !missing.is_empty() {
        return missing;
    }
    let mut findings = reference::in_use(&edited, edits);
    let reported = !findings.is_empty();
    let checked = check::check(&edited).into_iter();
    // References to deleted objects are reported as `InUse` at the deleted object,
    // so the same references are not reported as `DanglingName` as well.
    findings
        .extend(checked.filter(|finding| !(reported && finding.code == code::Code::DanglingName)));
    findings
}
