//! The task that applies committed commands to the catalog.

use std::time::{Duration, Instant};

use masticarch_kernel::{address, mailbox, stop};
use masticarch_model::{catalog, claim, command, node, target, team, version};
use masticarch_policy::share::lease;
use masticarch_wire::message as wire;

use super::{answer, holders, message, outcomes, polls, registration, retention};
use crate::agreement::event as log;
use crate::{event, liveness, metrics, quota};

/// Time between removals of abandoned polls.
const CLEANUP_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of claims that one command forgets, which bounds the size of a
/// log entry.
const MAX_CLAIMS_PER_FORGET: usize = 1_000;

/// Owns the catalog. It waits for other services only while it passes roles, limits
/// and holders on to [`quota`] and [`liveness`]. Those services never wait for it,
/// which rules out a deadlock.
pub struct Service {
    catalog: catalog::Catalog,
    outcomes: outcomes::Outcomes,
    polls: polls::Polls,
    retention: retention::Retention,
    leads: bool,
    quota: address::Address<quota::message::Message>,
    liveness: address::Address<liveness::message::Message>,
    metrics: metrics::Metrics,
}

impl Service {
    /// Makes the service with an empty catalog.
    #[must_use]
    pub fn new(
        quota: address::Address<quota::message::Message>,
        liveness: address::Address<liveness::message::Message>,
        metrics: metrics::Metrics,
    ) -> Self {
        let mut outcomes = outcomes::Outcomes::default();
        outcomes.restart(0);
        Self {
            catalog: catalog::Catalog::new(),
            outcomes,
            polls: polls::Polls::default(),
            retention: retention::Retention::default(),
            leads: false,
            quota,
            liveness,
            metrics,
        }
    }

    /// Handles messages until the service is asked to stop.
    pub async fn run(mut self, mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        let mut events = event::Events::new(mailbox, CLEANUP_PERIOD, stop);
        loop {
            match events.next().await {
                event::Event::Message(message) => self.handle(message).await,
                event::Event::Tick => self.polls.prune(),
                event::Event::Stop => return,
            }
        }
    }

    /// Handles one message. It is not an error if nobody waits for the reply any
    /// more.
    async fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Committed(index, bytes) => {
                self.commit(index, decode(index, &bytes)).await;
            }
            message::Message::Members(index, addresses) => {
                let command = command::Command::Control(addresses);
                self.commit(index, Some(command)).await;
            }
            message::Message::Install(snapshot) => self.install(snapshot).await,
            message::Message::Role(leadership) => self.change_role(leadership).await,
            message::Message::CaughtUp => {
                let _ = self.quota.send(quota::message::Message::CaughtUp).await;
            }
            message::Message::Outcome(index, reply) => self.outcomes.answer(index, reply),
            message::Message::Poll(held, reply) => self.polls.add(&self.catalog, held, reply),
            other => self.read(other),
        }
    }

    /// Answers requests that only read the catalog.
    fn read(&mut self, message: message::Message) {
        match message {
            message::Message::TakeSnapshot(reply) => {
                let _ = reply.send(self.snapshot());
            }
            message::Message::Current(held, reply) => {
                let _ = reply.send(answer::Answer::new(&self.catalog, held));
            }
            message::Message::Registration(node, targets, renewals, reply) => {
                let targets = self
                    .catalog
                    .without_departed(&node.name, targets, &renewals);
                let registration = self.registration(&node, targets.clone());
                let _ = reply.send((registration, targets));
            }
            message::Message::Unrecorded(node, departed, reply) => {
                let _ = reply.send(self.catalog.unrecorded(&node, departed));
            }
            message::Message::Nodes(reply) => {
                let nodes = self.catalog.view().nodes.iter().map(|entry| &entry.node);
                let nodes = nodes.map(|node| (node.name.clone(), node.incarnation));
                let _ = reply.send(nodes.collect());
            }
            message::Message::Claim(subject, reply) => {
                let _ = reply.send(self.catalog.claim(&subject).cloned());
            }
            message::Message::ExpiredClaims(reply) => {
                let _ = reply.send(self.expired_claims());
            }
            message::Message::Check(change, reply) => {
                let _ = reply.send(self.catalog.check(&change));
            }
            message::Message::History(count, reply) => {
                let count = usize::try_from(count).unwrap_or(usize::MAX);
                let _ = reply.send(self.catalog.history().take(count).cloned().collect());
            }
            message::Message::HasJoined(name, incarnation, reply) => {
                let entry = self.catalog.node(&name);
                let present = entry.is_some_and(|entry| entry.node.incarnation == incarnation);
                let _ = reply.send(present);
            }
            message::Message::View(reply) => {
                let _ = reply.send(self.catalog.view().clone());
            }
            message::Message::Document(reply) => {
                let _ = reply.send(self.catalog.document().cloned());
            }
            message::Message::Committed(..)
            | message::Message::Members(..)
            | message::Message::Install(..)
            | message::Message::Role(_)
            | message::Message::CaughtUp
            | message::Message::Outcome(..)
            | message::Message::Poll(..) => {}
        }
    }

    async fn commit(&mut self, index: u64, command: Option<command::Command>) {
        if index <= self.catalog.version().0 {
            return;
        }
        if index != self.catalog.version().0 + 1 {
            self.outcomes.restart(index - 1);
        }
        let configured = self.catalog.view().configuration_version;
        let published = self.catalog.published();
        self.apply_with_holders(index, command).await;
        self.metrics.applied(index);
        if self.catalog.published() != published {
            self.polls.wake(&self.catalog);
        }
        if self.catalog.view().configuration_version != configured {
            self.send_limits().await;
        }
    }

    fn apply(&mut self, index: u64, command: Option<command::Command>) {
        let Some(command) = command else {
            self.catalog.advance(index);
            self.outcomes.push(None);
            return;
        };
        let outcome = self.catalog.apply(index, command);
        self.outcomes.push(Some(outcome));
    }

    /// Applies a command and tells the quota service which incarnations of nodes
    /// have joined or ended.
    async fn apply_with_holders(&mut self, index: u64, command: Option<command::Command>) {
        let before = match &command {
            Some(command::Command::Join(node)) => self.catalog.node(&node.name),
            _ => None,
        };
        let before = before.map(|entry| entry.node.incarnation);
        let relevant = command.as_ref().filter(|command| affects_holders(command));
        let relevant = relevant.cloned();
        self.apply(index, command);
        let Some(command) = relevant else { return };
        let change = holders::change(&command, before, &self.catalog);
        if change != holders::Change::default() {
            let message = quota::message::Message::Holders(change.joined, change.ended);
            let _ = self.quota.send(message).await;
        }
    }

    async fn install(&mut self, snapshot: log::Snapshot) {
        let index = snapshot.index;
        if snapshot.bytes.is_empty() {
            self.catalog.advance(index);
            self.outcomes.restart(index);
            return;
        }
        match catalog::Catalog::decode(&snapshot.bytes) {
            Ok(catalog) => self.catalog = catalog,
            Err(error) => {
                tracing::error!(index, %error, "snapshot of the catalog cannot be decoded");
                return;
            }
        }
        self.outcomes.restart(index);
        self.metrics.applied(index);
        self.polls.wake(&self.catalog);
        self.send_limits().await;
    }

    async fn change_role(&mut self, leadership: log::Leadership) {
        let leads = leadership.leads();
        self.leads = leads;
        let holders = holders::current(&self.catalog);
        self.retention.clear();
        self.metrics.leads(leads);
        let _ = self
            .liveness
            .send(liveness::message::Message::Role(leads))
            .await;
        let _ = self
            .quota
            .send(quota::message::Message::Role(leadership, holders))
            .await;
        self.send_limits().await;
    }

    async fn send_limits(&self) {
        let limits = limits(&self.catalog);
        let _ = self
            .quota
            .send(quota::message::Message::Limits(limits))
            .await;
    }

    fn snapshot(&self) -> Option<log::Snapshot> {
        let bytes = self.catalog.encode();
        let bytes = bytes.inspect_err(
            |error| tracing::error!(%error, "the catalog cannot be encoded as a snapshot"),
        );
        Some(log::Snapshot {
            index: self.catalog.version().0,
            bytes: bytes.ok()?.into(),
        })
    }

    fn registration(
        &self,
        node: &node::Node,
        targets: Vec<target::Target>,
    ) -> registration::Registration {
        let entry = self.catalog.node(&node.name);
        let Some(entry) = entry.filter(|entry| entry.node == *node) else {
            return registration::Registration::Absent;
        };
        let targets = self.catalog.effective_targets(node.incarnation, targets);
        if entry.targets == targets {
            registration::Registration::Current
        } else {
            registration::Registration::Outdated
        }
    }

    fn expired_claims(&mut self) -> Vec<claim::Subject> {
        if !self.leads {
            return Vec::new();
        }
        let version = self.catalog.version();
        let expired = self.retention.sample(Instant::now(), version);
        if expired == version::Version::default() {
            return Vec::new();
        }
        self.catalog.settled_until(expired, MAX_CLAIMS_PER_FORGET)
    }
}

/// Whether a command may change the set of holders.
const fn affects_holders(command: &command::Command) -> bool {
    matches!(
        command,
        command::Command::Join(_) | command::Command::Expire(_) | command::Command::Leave(..)
    )
}

/// Decodes the command of an entry; `None` if the entry holds none. Every member
/// skips an entry that cannot be decoded, so that their catalogs stay equal.
fn decode(index: u64, bytes: &[u8]) -> Option<command::Command> {
    if bytes.is_empty() {
        return None;
    }
    wire::decode(bytes)
        .inspect_err(|error| tracing::error!(index, %error, "log entry cannot be decoded"))
        .ok()
}

/// The rate limits of all teams in the current configuration.
fn limits(catalog: &catalog::Catalog) -> Vec<lease::Limit> {
    let configuration = &catalog.view().configuration;
    let limit = |team: &team::Team| {
        let limit = configuration
            .limits
            .iter()
            .find(|limit| limit.name == team.limit)?;
        Some(lease::Limit {
            team: team.name.clone(),
            whole: lease::Share {
                rate: limit.rate_per_second,
                burst: f64::from(limit.burst),
            },
        })
    };
    configuration.teams.iter().filter_map(limit).collect()
}
