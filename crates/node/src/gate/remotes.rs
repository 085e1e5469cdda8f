//! All services and targets as the entry node knows them.

use std::time::Instant;

use fastrand::Rng;
use masticarch_model::{directory, incarnation, map, name, place, target};
use masticarch_policy::route::{locality, pool};
use masticarch_policy::{outlier, retry_budget};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::gate::{outlet, remote, report, verdict};

new_key_type! {
    /// Copyable key of a service, kept over changes of the directory.
    pub struct PoolKey;
}

/// What makes a target the same one in two directories.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Identity {
    node: name::Name,
    incarnation: incarnation::Incarnation,
    service: name::Name,
}

/// All services and targets as the entry node knows them.
#[derive(Debug)]
pub struct Remotes {
    own: name::Name,
    place: place::Place,
    ejects: bool,
    repeats: Option<retry_budget::Limits>,
    arena: SlotMap<remote::RemoteKey, remote::Remote>,
    identities: map::Map<Identity, remote::RemoteKey>,
    outlets: SlotMap<PoolKey, outlet::Outlet>,
    names: map::Map<name::Name, PoolKey>,
    services: SecondaryMap<directory::ServiceKey, PoolKey>,
}

impl Remotes {
    /// No services, seen from the node `own` at `place`. `ejects` is off in
    /// the baseline of experiments.
    pub fn new(
        own: name::Name,
        place: place::Place,
        ejects: bool,
        repeats: Option<retry_budget::Limits>,
    ) -> Self {
        Self {
            own,
            place,
            ejects,
            repeats,
            arena: SlotMap::with_key(),
            identities: map::Map::default(),
            outlets: SlotMap::with_key(),
            names: map::Map::default(),
            services: SecondaryMap::new(),
        }
    }

    /// Follows a new directory. Targets and services that it still has keep
    /// what is known of them.
    pub fn install(&mut self, directory: &directory::Directory) {
        self.services.clear();
        let nodes = u32::try_from(directory.nodes.len()).unwrap_or(u32::MAX);
        let budget = self
            .repeats
            .map(|limits| retry_budget::Budget::new(limits, nodes));
        for (key, service) in &directory.services {
            let pool = self.pool_named(&service.name);
            let outlet = &mut self.outlets[pool];
            outlet.pool = pool::Pool::default();
            outlet.retry_budget = match (budget, outlet.retry_budget) {
                (Some(new), Some(earlier)) => Some(new.with_balance_of(&earlier)),
                (new, _) => new,
            };
            self.services.insert(key, pool);
        }
        let mut identities = map::Map::default();
        for (key, target) in &directory.targets {
            let (identity, remote) = self.install_target(directory, key, target);
            identities.insert(identity, remote);
        }
        self.identities = identities;
        self.forget(directory);
    }

    /// The service of a route.
    pub fn pool_of(&self, service: directory::ServiceKey) -> Option<PoolKey> {
        self.services.get(service).copied()
    }

    /// A target.
    pub fn get(&self, key: remote::RemoteKey) -> Option<&remote::Remote> {
        self.arena.get(key)
    }

    /// Chooses a target that was not tried.
    pub fn choose(
        &self,
        pool: PoolKey,
        tried: &[remote::RemoteKey],
        rank: u8,
        rng: &mut Rng,
        now: Instant,
    ) -> Option<remote::RemoteKey> {
        let usable =
            |key: remote::RemoteKey| !tried.contains(&key) && self.arena[key].is_usable(now);
        let load = |key: remote::RemoteKey| self.arena[key].load(rank, now);
        self.outlets.get(pool)?.pool.choose(rng, usable, load)
    }

    /// Whether every usable target of a service sheds requests of this rank.
    pub fn all_shed(&self, pool: PoolKey, rank: u8, now: Instant) -> bool {
        let Some(outlet) = self.outlets.get(pool) else {
            return false;
        };
        let mut usable = outlet
            .pool
            .iter()
            .map(|key| &self.arena[key])
            .filter(|remote| remote.is_usable(now))
            .peekable();
        // Without overload the first usable target ends the search.
        usable.peek().is_some() && usable.all(|remote| remote.sheds(rank, now))
    }

    /// Whether a request passes early shedding.
    pub fn passes(&mut self, pool: PoolKey, rank: u8, rng: &mut Rng, now: Instant) -> bool {
        let shed = self.all_shed(pool, rank, now);
        let chance = if shed { rng.f64() } else { 0.0 };
        self.outlets
            .get_mut(pool)
            .is_none_or(|outlet| outlet.passes(rank, shed, chance, now))
    }

    /// Counts a request to a service that is sent for the first time.
    pub fn requested(&mut self, pool: PoolKey) {
        let outlet = self.outlets.get_mut(pool);
        if let Some(budget) = outlet.and_then(|outlet| outlet.retry_budget.as_mut()) {
            budget.deposit();
        }
    }

    /// Whether a request that has reached a target may be sent to another one.
    pub fn may_repeat(&mut self, pool: PoolKey) -> bool {
        let outlet = self.outlets.get_mut(pool);
        outlet
            .and_then(|outlet| outlet.retry_budget.as_mut())
            .is_none_or(retry_budget::Budget::try_withdraw)
    }

    /// An attempt is sent to a target.
    pub fn begun(&mut self, key: remote::RemoteKey) {
        if let Some(remote) = self.arena.get_mut(key) {
            remote.in_flight += 1;
        }
    }

    /// An attempt was not sent after all.
    pub fn withdrawn(&mut self, key: remote::RemoteKey) {
        if let Some(remote) = self.arena.get_mut(key) {
            remote.in_flight = remote.in_flight.saturating_sub(1);
        }
    }

    /// An attempt ended. Ejects its target where that is called for, unless
    /// half of the service's targets are ejected already.
    pub fn ended(
        &mut self,
        pool: PoolKey,
        key: remote::RemoteKey,
        rank: u8,
        report: &report::Report,
        now: Instant,
    ) {
        if verdict::executions(report) != Some(0)
            && let Some(outlet) = self.outlets.get_mut(pool)
        {
            outlet.accepted(rank, now);
        }
        let Some(remote) = self.arena.get_mut(key) else {
            return;
        };
        if remote.ended(report, now) && self.ejects && self.may_eject(pool, now) {
            self.arena[key].detector.eject(now);
        }
    }

    fn may_eject(&self, pool: PoolKey, now: Instant) -> bool {
        let Some(outlet) = self.outlets.get(pool) else {
            return false;
        };
        let ejected = outlet
            .pool
            .iter()
            .filter(|key| self.arena[*key].detector.is_ejected(now))
            .count();
        outlier::may_eject(ejected, outlet.pool.len())
    }

    fn install_target(
        &mut self,
        directory: &directory::Directory,
        key: directory::TargetKey,
        target: &directory::Target,
    ) -> (Identity, remote::RemoteKey) {
        let node = &directory.nodes[target.node];
        let identity = Identity {
            node: node.name.clone(),
            incarnation: node.incarnation,
            service: target.record.service.clone(),
        };
        let locality = locality::Locality::between(&self.place, &node.place);
        let known = self.identities.get(&identity).copied();
        let slots = target.record.slots;
        let known = known.unwrap_or_else(|| {
            let remote = remote::Remote::new(key, node, locality, slots);
            self.arena.insert(remote)
        });
        let remote = &mut self.arena[known];
        remote.target = key;
        remote.peer = (node.name != self.own).then_some(node.peer);
        remote.serving = target.record.state == target::State::Serving;
        if remote.serving {
            let pool = self.services[target.service];
            self.outlets[pool].pool.add(known, locality);
        }
        (identity, known)
    }

    /// Drops the targets and services that the directory no longer has.
    fn forget(&mut self, directory: &directory::Directory) {
        let kept: map::Set<_> = self.identities.values().copied().collect();
        self.arena.retain(|key, _| kept.contains(&key));
        self.names
            .retain(|name, _| directory.service_named(name).is_some());
        let kept: map::Set<_> = self.names.values().copied().collect();
        self.outlets.retain(|key, _| kept.contains(&key));
    }

    fn pool_named(&mut self, name: &name::Name) -> PoolKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.outlets.insert(outlet::Outlet::default());
        self.names.insert(name.clone(), key);
        key
    }
}
