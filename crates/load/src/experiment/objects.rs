//! Operators' objects of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::objects;

/// A team with a limit and a key of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Requests per second.
    pub rate: f64,
    /// Requests at once.
    pub burst: u32,
}

/// A route `/service` that all teams may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its service.
    pub service: String,
    /// Its priority.
    pub priority: String,
    /// Whether a request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Longest time for a request.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Retry credit.
    #[serde(default = "default_retries")]
    pub retries: u8,
}

/// Operators' objects of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objects {
    /// Priorities, the highest first.
    pub priorities: Vec<String>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Number of further teams, keys and routes that nobody uses.
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

/// A configuration and the keys of its teams by name.
pub struct Setup {
    /// The objects.
    pub objects: objects::Objects,
    /// The keys.
    pub keys: BTreeMap<String, String>,
}

impl Objects {
    /// Builds the configuration, with or without filler.
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
