//! In-memory index of a view, for lookups on the request path.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::{access, map, name, node, route, secret, target, version, view};

new_key_type! {
    /// Index of a team in [`Directory::teams`].
    pub struct TeamKey;
    /// Index of a caller's key in [`Directory::credentials`].
    pub struct CredentialKey;
    /// Index of a route in [`Directory::routes`].
    pub struct RouteKey;
    /// Index of a service in [`Directory::services`].
    pub struct ServiceKey;
    /// Index of a node in [`Directory::nodes`].
    pub struct NodeKey;
    /// Index of a target in [`Directory::targets`].
    pub struct TargetKey;
}

/// A team with its resolved limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: name::Name,
    /// Rate of its requests over the whole fleet.
    pub rate_per_second: f64,
    /// Burst of its requests over the whole fleet.
    pub burst: u32,
    /// Share of capacity within a priority, relative to the other teams.
    pub weight: u16,
    /// Rank of its requests, 0 being the highest; `None` when their routes set it.
    pub rank: Option<u8>,
}

/// Callers that may use a route, with resolved teams.
#[derive(Clone, Debug)]
pub enum Access {
    /// Every caller.
    Open,
    /// Callers with a key of any team.
    Keyed,
    /// Callers with a key of one of these teams.
    Teams(map::Set<TeamKey>),
}

/// A service that receives a share of a route's traffic.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// The service.
    pub service: ServiceKey,
    /// Share of the traffic, relative to the route's other services.
    pub weight: u32,
}

/// A caller's key with its resolved team.
#[derive(Clone, Debug)]
pub struct Credential {
    /// Name of the key.
    pub name: name::Name,
    /// Team whose rate and weight count for requests with the key.
    pub team: TeamKey,
    /// BLAKE3 hash of the secret.
    pub hash: [u8; 32],
    /// Whether the key has been withdrawn, so that requests with it are refused.
    pub withdrawn: bool,
}

/// A route with its resolved references.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: name::Name,
    /// Services of the route; one, unless its traffic is split.
    pub destinations: Vec<Destination>,
    /// Rank of its priority: 0 is the highest.
    pub rank: u8,
    /// Callers that may use it.
    pub access: Access,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Retry credit of a request, shared by all calls that it causes.
    pub retries: u8,
    /// Most targets to which one request is sent; `None` when only the retry credit
    /// bounds them.
    pub attempts: Option<u8>,
    /// Latency up to which an answer has its full value; `None` when the route sets
    /// none.
    pub latency_target: Option<Duration>,
}

impl Route {
    /// Whether every caller may use the route.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.access, Access::Open)
    }
}

/// A service and its targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: name::Name,
    /// Its targets at all nodes, including draining ones.
    pub targets: Vec<TargetKey>,
}

/// A target with its resolved node.
#[derive(Clone, Debug)]
pub struct Target {
    /// Service that it serves.
    pub service: ServiceKey,
    /// Node on its VM, through which it is reached.
    pub node: NodeKey,
    /// The target as its node announced it.
    pub record: target::Target,
}

/// Routes by path prefix.
type Paths = map::Map<Box<str>, RouteKey>;

/// Read-only index of one version of the view, with constant-time lookups by key
/// id, route path, service and node. It is built once per version, and the next
/// version replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Version of the view, the log index up to which it is complete.
    pub version: version::Version,
    /// Version of the configuration in the view.
    pub configuration_version: version::Version,
    /// Teams with a known limit.
    pub teams: SlotMap<TeamKey, Team>,
    /// Callers' keys with a known team, including withdrawn ones.
    pub credentials: SlotMap<CredentialKey, Credential>,
    /// Routes with a known priority.
    pub routes: SlotMap<RouteKey, Route>,
    /// Services that a route names or a target serves.
    pub services: SlotMap<ServiceKey, Service>,
    /// All nodes of the fleet.
    pub nodes: SlotMap<NodeKey, node::Node>,
    /// Targets at all nodes, including draining ones.
    pub targets: SlotMap<TargetKey, Target>,
    /// Names of the priorities by rank, the highest first.
    pub priorities: Vec<name::Name>,
    credential_ids: map::Map<[u8; secret::ID_BYTES], CredentialKey>,
    /// Routes that match any host, by path prefix.
    paths: Paths,
    /// Routes that match one host, by host and path prefix.
    hosts: map::Map<Box<str>, Paths>,
    team_names: map::Map<name::Name, TeamKey>,
    service_names: map::Map<name::Name, ServiceKey>,
    node_names: map::Map<name::Name, NodeKey>,
    route_names: map::Map<name::Name, RouteKey>,
}

impl Directory {
    /// Builds the index of a view whose configuration has passed
    /// [`crate::check::check`]. Objects with unresolved references are left out.
    #[must_use]
    pub fn new(view: &view::View) -> Self {
        let mut directory = Self {
            version: view.version,
            configuration_version: view.configuration_version,
            priorities: view.priorities(),
            ..Self::default()
        };
        directory.add_teams(view);
        directory.add_credentials(view);
        directory.add_nodes(view);
        directory.add_routes(view);
        directory
    }

    /// Finds a caller's key by its public id.
    #[must_use]
    pub fn credential(&self, id: &[u8; secret::ID_BYTES]) -> Option<&Credential> {
        let key = self.credential_ids.get(id)?;
        self.credentials.get(*key)
    }

    /// Finds the route whose path prefix is the longest that matches on whole
    /// segments. Routes of the host come before routes of any host. The cost depends
    /// on the length of the path, not on the number of routes.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<RouteKey> {
        let of_host = host.and_then(|host| longest(self.hosts.get(host)?, path));
        of_host.or_else(|| longest(&self.paths, path))
    }

    /// Finds a team by name.
    #[must_use]
    pub fn team_named(&self, name: &name::Name) -> Option<TeamKey> {
        self.team_names.get(name).copied()
    }

    /// Finds a route by name.
    #[must_use]
    pub fn route_named(&self, name: &name::Name) -> Option<RouteKey> {
        self.route_names.get(name).copied()
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service_named(&self, name: &name::Name) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Finds a node by name.
    #[must_use]
    pub fn node_named(&self, name: &name::Name) -> Option<NodeKey> {
        self.node_names.get(name).copied()
    }

    /// Finds the rank of a priority by name: 0 is the highest.
    #[must_use]
    pub fn rank_named(&self, name: &str) -> Option<u8> {
        let rank = self
            .priorities
            .iter()
            .position(|entry| entry.as_str() == name)?;
        u8::try_from(rank).ok()
    }

    fn add_teams(&mut self, view: &view::View) {
        let limits: map::Map<_, _> = view
            .configuration
            .limits
            .iter()
            .map(|limit| (&limit.name, limit))
            .collect();
        for team in &view.configuration.teams {
            let Some(limit) = limits.get(&team.limit) else {
                continue;
            };
            let key = self.teams.insert(Team {
                name: team.name.clone(),
                rate_per_second: limit.rate_per_second,
                burst: limit.burst,
                weight: team.weight,
                rank: team
                    .priority
                    .as_ref()
                    .and_then(|priority| self.rank_named(priority)),
            });
            self.team_names.insert(team.name.clone(), key);
        }
    }

    fn add_credentials(&mut self, view: &view::View) {
        for entry in &view.configuration.keys {
            let Some(team) = self.team_named(&entry.team) else {
                continue;
            };
            let key = self.credentials.insert(Credential {
                name: entry.name.clone(),
                team,
                hash: entry.hash,
                withdrawn: entry.withdrawn,
            });
            self.credential_ids.insert(entry.id, key);
        }
    }

    fn add_nodes(&mut self, view: &view::View) {
        for entry in &view.nodes {
            let node = self.nodes.insert(entry.node.clone());
            self.node_names.insert(entry.node.name.clone(), node);
            for record in &entry.targets {
                let service = self.service(&record.service);
                let target = self.targets.insert(Target {
                    service,
                    node,
                    record: record.clone(),
                });
                self.services[service].targets.push(target);
            }
        }
    }

    fn add_routes(&mut self, view: &view::View) {
        for entry in &view.configuration.routes {
            let Some(rank) = self.rank_named(&entry.priority) else {
                continue;
            };
            let route = Route {
                name: entry.name.clone(),
                destinations: self.destinations(entry),
                rank,
                access: self.allowed(&entry.access),
                idempotent: entry.idempotent,
                timeout: entry.timeout,
                retries: entry.retries,
                attempts: entry.attempts,
                latency_target: entry.latency_target,
            };
            let key = self.routes.insert(route);
            let paths = match &entry.host {
                Some(host) => self.hosts.entry(host.clone()).or_default(),
                None => &mut self.paths,
            };
            paths.insert(entry.prefix().into(), key);
            self.route_names.insert(entry.name.clone(), key);
        }
    }

    fn destinations(&mut self, entry: &route::Route) -> Vec<Destination> {
        if entry.split.is_empty() {
            let service = self.service(&entry.service);
            return vec![Destination { service, weight: 1 }];
        }
        let destinations = entry.split.iter();
        destinations
            .map(|destination| Destination {
                service: self.service(&destination.service),
                weight: destination.weight,
            })
            .collect()
    }

    fn allowed(&self, access: &access::Access) -> Access {
        match access {
            access::Access::Open => Access::Open,
            access::Access::Keyed => Access::Keyed,
            access::Access::Teams(teams) => Access::Teams(
                teams
                    .iter()
                    .filter_map(|name| self.team_named(name))
                    .collect(),
            ),
        }
    }

    fn service(&mut self, name: &name::Name) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service {
            name: name.clone(),
            targets: Vec::new(),
        });
        self.service_names.insert(name.clone(), key);
        key
    }
}

/// The route with the longest prefix of `path` on whole segments. A prefix that
/// ends with a slash is longer than the same one without.
fn longest(paths: &Paths, path: &str) -> Option<RouteKey> {
    let mut prefix = path;
    loop {
        if let Some(key) = paths.get(prefix) {
            return Some(*key);
        }
        prefix = match prefix.strip_suffix('/') {
            Some(shorter) => shorter,
            None => &prefix[..=prefix.rfind('/')?],
        };
    }
}
