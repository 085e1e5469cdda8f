//! Load balancing over the targets of the fleet, as the entry node knows them.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_model::{directory, incarnation, map, name, place, target};
use masticarch_policy::route::{locality, pool};
use masticarch_policy::{outlier, retry_budget};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::gate::{classify, endpoint, report, statements, upstream, work};

new_key_type! {
    /// Key of a service, kept over changes of the directory.
    pub struct UpstreamKey;
}

/// Identifies a target across directories.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Identity {
    node: name::Name,
    incarnation: incarnation::Incarnation,
    service: name::Name,
}

/// The services and targets of the directory, with what this node has learnt about
/// them.
#[derive(Debug)]
pub struct Balancer {
    own_node: name::Name,
    place: place::Place,
    ejection_enabled: bool,
    retry_limits: Option<retry_budget::Limits>,
    endpoints: SlotMap<endpoint::EndpointKey, endpoint::Endpoint>,
    identities: map::Map<Identity, endpoint::EndpointKey>,
    upstreams: SlotMap<UpstreamKey, upstream::Upstream>,
    keys_by_name: map::Map<name::Name, UpstreamKey>,
    keys_by_service: SecondaryMap<directory::ServiceKey, UpstreamKey>,
    statements: statements::Statements,
}

impl Balancer {
    /// A balancer without services, for the node `own_node` at `place`. Experiments
    /// switch `ejection_enabled` off for their baseline.
    pub fn new(
        own_node: name::Name,
        place: place::Place,
        ejection_enabled: bool,
        retry_limits: Option<retry_budget::Limits>,
    ) -> Self {
        Self {
            own_node,
            place,
            ejection_enabled,
            retry_limits,
            endpoints: SlotMap::with_key(),
            identities: map::Map::default(),
            upstreams: SlotMap::with_key(),
            keys_by_name: map::Map::default(),
            keys_by_service: SecondaryMap::new(),
            statements: statements::Statements::default(),
        }
    }

    /// Installs a new directory. Targets and services that it still contains keep what
    /// is known of them.
    pub fn install(&mut self, directory: &directory::Directory, now: Instant) {
        self.keys_by_service.clear();
        let nodes = u32::try_from(directory.nodes.len()).unwrap_or(u32::MAX);
        let budget = self
            .retry_limits
            .map(|limits| retry_budget::Budget::new(limits, nodes));
        for (key, service) in &directory.services {
            let upstream_key = self.upstream_for(&service.name);
            let upstream = &mut self.upstreams[upstream_key];
            upstream.pool = pool::Pool::default();
            upstream.retry_budget = match (budget, upstream.retry_budget) {
                (Some(new), Some(earlier)) => Some(new.with_balance_of(&earlier)),
                (new, _) => new,
            };
            self.keys_by_service.insert(key, upstream_key);
        }
        let mut identities = map::Map::default();
        for (key, target) in &directory.targets {
            let (identity, endpoint) = self.install_target(directory, key, target, now);
            identities.insert(identity, endpoint);
        }
        self.identities = identities;
        self.remove_missing(directory);
    }

    /// Key of a service of the directory.
    pub fn upstream_of(&self, service: directory::ServiceKey) -> Option<UpstreamKey> {
        self.keys_by_service.get(service).copied()
    }

    /// What is known of a target; `None` when the directory no longer contains it.
    pub fn get(&self, key: endpoint::EndpointKey) -> Option<&endpoint::Endpoint> {
        self.endpoints.get(key)
    }

    /// Chooses a usable target that is not among `tried`. Without `insists`, none that fails
    /// according to its node.
    pub fn choose(
        &self,
        work: &work::Work,
        tried: &[endpoint::EndpointKey],
        insists: bool,
        rng: &mut Rng,
        now: Instant,
    ) -> Option<endpoint::EndpointKey> {
        let upstream = self.upstreams.get(work.upstream)?;
        let expected = upstream.expected_latency(&work.route);
        let usable = |key: endpoint::EndpointKey| {
            let endpoint = &self.endpoints[key];
            let sound = insists || !endpoint.is_failing(now);
            !tried.contains(&key) && endpoint.is_usable(now) && sound
        };
        let load = |key: endpoint::EndpointKey| {
            let endpoint = &self.endpoints[key];
            endpoint.load(work.rank, expected, now)
        };
        upstream.pool.choose(rng, usable, load)
    }

    /// Forgets statements that no target has repeated for a long time.
    pub fn sweep(&mut self, now: Instant) {
        self.statements.remove_old(now);
    }

    /// What a target was last known to state about itself.
    pub fn statement(&self, endpoint: &endpoint::Endpoint) -> Option<&statements::Statement> {
        self.statements.get(endpoint)
    }

    /// Whether every usable target of a service sheds requests of this rank.
    pub fn all_shed(&self, upstream: UpstreamKey, rank: u8, now: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(upstream) else {
            return false;
        };
        let mut usable = upstream
            .pool
            .iter()
            .map(|key| &self.endpoints[key])
            .filter(|endpoint| endpoint.is_usable(now))
            .peekable();
        // Without overload the first usable target ends the search.
        usable.peek().is_some() && usable.all(|endpoint| endpoint.sheds(rank, now))
    }

    /// Whether a request passes early shedding: while every usable target sheds its
    /// rank, a part of the requests is refused here.
    pub fn passes(&mut self, upstream: UpstreamKey, rank: u8, rng: &mut Rng, now: Instant) -> bool {
        let shed = self.all_shed(upstream, rank, now);
        let chance = if shed { rng.f64() } else { 0.0 };
        self.upstreams
            .get_mut(upstream)
            .is_none_or(|upstream| upstream.passes(rank, shed, chance, now))
    }

    /// Records a request that is sent to a service for the first time.
    pub fn record_request(&mut self, upstream: UpstreamKey) {
        let upstream = self.upstreams.get_mut(upstream);
        if let Some(budget) = upstream.and_then(|upstream| upstream.retry_budget.as_mut()) {
            budget.deposit();
        }
    }

    /// Takes one retry from the retry budget of a service, for a request that has
    /// reached a target and is to be sent to another one. Returns whether it may be
    /// sent, which is always so without a budget.
    pub fn try_withdraw_retry(&mut self, upstream: UpstreamKey) -> bool {
        let upstream = self.upstreams.get_mut(upstream);
        upstream
            .and_then(|upstream| upstream.retry_budget.as_mut())
            .is_none_or(retry_budget::Budget::try_withdraw)
    }

    /// Records that an attempt is sent to a target.
    pub fn record_start(&mut self, key: endpoint::EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.in_flight += 1;
        }
    }

    /// Records that an attempt was not sent after all.
    pub fn record_withdrawal(&mut self, key: endpoint::EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records the end of an attempt. Ejects its target when it has failed too often,
    /// unless half of the service's targets are ejected already.
    pub fn record_end(
        &mut self,
        work: &work::Work,
        key: endpoint::EndpointKey,
        report: &report::Report,
        now: Instant,
    ) {
        let mut expected = Duration::ZERO;
        if let Some(upstream) = self.upstreams.get_mut(work.upstream) {
            if classify::executions(report) != Some(0) {
                upstream.record_accepted(work.rank, now);
            }
            if classify::failure(report).is_none() {
                upstream.record_latency(&work.route, report.latency, now);
            }
            expected = upstream.expected_latency(&work.route);
        }
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        self.statements.record(endpoint, report, now);
        if endpoint.record_end(report, expected, now)
            && self.ejection_enabled
            && self.may_eject(work.upstream, now)
        {
            self.endpoints[key].detector.eject(now);
        }
    }

    fn may_eject(&self, upstream: UpstreamKey, now: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(upstream) else {
            return false;
        };
        let ejected = upstream
            .pool
            .iter()
            .filter(|key| self.endpoints[*key].detector.is_ejected(now))
            .count();
        outlier::may_eject(ejected, upstream.pool.len())
    }

    fn install_target(
        &mut self,
        directory: &directory::Directory,
        key: directory::TargetKey,
        target: &directory::Target,
        now: Instant,
    ) -> (Identity, endpoint::EndpointKey) {
        let node = &directory.nodes[target.node];
        let identity = Identity {
            node: node.name.clone(),
            incarnation: node.incarnation,
            service: target.record.service.clone(),
        };
        let locality = locality::Locality::between(&self.place, &node.place);
        let known = self.identities.get(&identity).copied();
        let known = known.unwrap_or_else(|| {
            let endpoint = endpoint::Endpoint::new(key, &target.record, node, locality, now);
            self.endpoints.insert(endpoint)
        });
        let endpoint = &mut self.endpoints[known];
        endpoint.target = key;
        endpoint.peer = (node.name != self.own_node).then_some(node.peer);
        endpoint.serving = target.record.state == target::State::Serving;
        if endpoint.serving {
            let upstream = self.keys_by_service[target.service];
            self.upstreams[upstream].pool.add(known, locality);
        }
        (identity, known)
    }

    /// Drops the targets and services that the directory no longer contains.
    fn remove_missing(&mut self, directory: &directory::Directory) {
        let kept: map::Set<_> = self.identities.values().copied().collect();
        self.endpoints.retain(|key, _| kept.contains(&key));
        self.keys_by_name
            .retain(|name, _| directory.service_named(name).is_some());
        let kept: map::Set<_> = self.keys_by_name.values().copied().collect();
        self.upstreams.retain(|key, _| kept.contains(&key));
    }

    fn upstream_for(&mut self, name: &name::Name) -> UpstreamKey {
        if let Some(key) = self.keys_by_name.get(name) {
            return *key;
        }
        let key = self.upstreams.insert(upstream::Upstream::default());
        self.keys_by_name.insert(name.clone(), key);
        key
    }
}
