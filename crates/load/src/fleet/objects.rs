//! Builds operators' objects for a fleet.

use std::time::Duration;

use masticarch_model::{access, configuration, key, limit, name, priority, route, secret, team};

/// Builder of a configuration, whose keys are drawn from a seed.
pub struct Objects {
    /// Configuration with the objects that were added so far.
    pub configuration: configuration::Configuration,
    random: fastrand::Rng,
}

impl Objects {
    /// Creates a configuration with these priorities, from highest to lowest.
    #[must_use]
    pub fn new(seed: u64, priorities: &[&str]) -> Self {
        let mut configuration = configuration::Configuration::default();
        let mut above = None;
        for text in priorities {
            let name = name::Name::new(text);
            configuration.priorities.push(priority::Priority {
                name: name.clone(),
                below: above.replace(name),
            });
        }
        Self {
            configuration,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a team with a limit and a key of the same name, and returns the key in the
    /// form in which its holder presents it.
    pub fn team(&mut self, text: &str, rate: f64, burst: u32) -> String {
        let name = name::Name::new(text);
        let id = self.random.u64(..).to_be_bytes();
        let bytes = std::array::from_fn(|_| self.random.u8(..));
        let secret = secret::Secret::new(id, bytes);
        self.configuration.limits.push(limit::Limit {
            name: name.clone(),
            rate_per_second: rate,
            burst,
        });
        self.configuration.teams.push(team::Team {
            priority: None,
            name: name.clone(),
            limit: name.clone(),
            weight: 1,
        });
        self.configuration.keys.push(key::Key {
            name: name.clone(),
            team: name,
            id,
            hash: secret.hash(),
            withdrawn: false,
        });
        secret.reveal()
    }

    /// Adds an idempotent route with the path `/service` for the given teams; without
    /// teams it is open to all. The returned route can be changed.
    pub fn route(&mut self, service: &str, priority: &str, teams: &[&str]) -> &mut route::Route {
        let access = if teams.is_empty() {
            access::Access::Open
        } else {
            access::Access::Teams(teams.iter().map(|text| name::Name::new(text)).collect())
        };
        self.configuration.routes.push(route::Route {
            host: None,
            split: Vec::new(),
            attempts: None,
            latency_target: None,
            name: name::Name::new(service),
            path: format!("/{service}").into(),
            service: name::Name::new(service),
            priority: name::Name::new(priority),
            access,
            idempotent: true,
            timeout: Duration::from_secs(2),
            retries: 3,
        });
        let last = self.configuration.routes.len() - 1;
        &mut self.configuration.routes[last]
    }
}
