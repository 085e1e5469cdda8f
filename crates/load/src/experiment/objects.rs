//! Operators' objects (teams, routes and priorities) of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::objects;

/// A team, for which a limit and a key of the same name are built.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of team, limit and key.
    pub name: String,
    /// Rate of the limit, in requests per second.
    pub rate: f64,
    /// Burst of the limit, in requests.
    pub burst: u32,
}

/// A route with the path `/service`, which all teams may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service to which the route leads.
    pub service: String,
    /// Priority of its requests.
    pub priority: String,
    /// Whether its requests are idempotent, so that they may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Timeout of a request.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Retry credit of a request.
    #[serde(default = "default_retries")]
    pub retries: u8,
}

/// Operators' objects of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objects {
    /// Names of the priorities, from highest to lowest.
    pub priorities: Vec<String>,
    /// Teams that send load.
    pub teams: Vec<Team>,
    /// Routes that receive load.
    pub routes: Vec<Route>,
    /// Number of additional teams, each with a key and a route, that receive no load.
    #[serde(default)]
    pub filler: u32,
}

const fn default_idempotent() -> bool {
    true
}

const fn default_timeout() -> u64 {
    2_000
}

const fn default_retries() -> u8 {
    3
}

/// The built objects and the secret keys of their teams.
pub struct Setup {
    /// Builder that holds the configuration.
    pub objects: objects::Objects,
    /// Keys by name of the team, in the form in which clients present them.
    pub keys: BTreeMap<String, String>,
}

impl Objects {
    /// Builds the configuration, with or without the filler; the seed determines the
    /// keys.
    #[must_use]
    pub fn build(&self, seed: u64, with_filler: bool) -> Setup {
        let priorities: Vec<_> = self.priorities.iter().map(String::as_str).collect();
        let mut objects = objects::Objects::new(seed, &priorities);
        let mut keys = BTreeMap::new();
        for team in &self.teams {
            let key = objects.team(&team.name, team.rate, team.burst);
            keys.insert(team.name.clone(), key);
        }
        let teams: Vec<_> = self.teams.iter().map(|team| team.name.as_str()).collect();
        for route in &self.routes {
            let built = objects.route(&route.service, &route.priority, &teams);
            built.idempotent = route.idempotent;
            built.timeout = Duration::from_millis(route.timeout_ms);
            built.retries = route.retries;
        }
        let fillers = if with_filler { self.filler } else { 0 };
        for number in 0..fillers {
            let name = format!("filler-{number}");
            objects.team(&name, 1.0, 1);
            objects.route(&name, priorities[0], &[&name]);
        }
        Setup { objects, keys }
    }
}
