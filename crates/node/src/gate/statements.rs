//! What targets were last known to state about themselves.

use std::time::{Duration, Instant};

use masticarch_model::{map, name};

use crate::gate::{endpoint, report};

/// Time after which a statement is forgotten. A restart of the node beside a target
/// takes much less.
const RETENTION: Duration = Duration::from_mins(10);

#[derive(Clone, Copy, Debug)]
struct Statement {
    rate_limit: f64,
    recorded: Instant,
}

/// Statements of targets, by the name of their node and by service. They outlive the
/// incarnation of that node: once it has restarted, it learns from its requests what
/// the earlier incarnation knew.
#[derive(Debug, Default)]
pub struct Statements {
    nodes: map::Map<name::Name, map::Map<name::Name, Statement>>,
}

impl Statements {
    /// Records what the report on an attempt says of its target.
    pub fn record(&mut self, endpoint: &endpoint::Endpoint, report: &report::Report, now: Instant) {
        // Without a load report nothing is known of the rate limit either.
        if report.limit.is_none() {
            return;
        }
        let Some(rate_limit) = report.rate_limit else {
            return self.remove(endpoint);
        };
        let services = self.nodes.entry(endpoint.node.clone()).or_default();
        let statement = Statement {
            rate_limit,
            recorded: now,
        };
        services.insert(endpoint.service.clone(), statement);
    }

    /// Rate limit that a target was last known to state, in requests per second.
    pub fn rate_limit(&self, endpoint: &endpoint::Endpoint) -> Option<f64> {
        let statement = self.nodes.get(&endpoint.node)?.get(&endpoint.service)?;
        Some(statement.rate_limit)
    }

    /// Forgets statements that no target has repeated for a long time.
    pub fn remove_old(&mut self, now: Instant) {
        self.nodes.retain(|_, services| {
            services.retain(|_, statement| {
                now.saturating_duration_since(statement.recorded) < RETENTION
            });
            !services.is_empty()
        });
    }

    fn remove(&mut self, endpoint: &endpoint::Endpoint) {
        if let Some(services) = self.nodes.get_mut(&endpoint.node) {
            services.remove(&endpoint.service);
        }
    }
}
