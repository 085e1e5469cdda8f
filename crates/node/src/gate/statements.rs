//! What targets were last known to state about themselves.

use std::time::{Duration, Instant};

use masticarch_model::{map, name};

use crate::gate::{endpoint, report};

/// Time after which a statement is forgotten. A restart of the node beside a target
/// takes much less.
const RETENTION: Duration = Duration::from_mins(10);

/// What a target was last known to state about itself.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Its rate limit, in requests per second.
    pub rate_limit: Option<f64>,
    /// Its run that is leaving.
    pub leaving: Option<Box<str>>,
    /// When the target last stated any of it.
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
        let known = self.get(endpoint);
        // An answer to a request that was sent before the last statement says nothing:
        // answers on different connections overtake each other.
        let sent = now.checked_sub(report.latency).unwrap_or(now);
        let is_later = known.is_none_or(|known| known.recorded <= sent);
        // Only a whole answer shows what the target states. A refusal of its node does not:
        // a node that has just started knows nothing of the target yet.
        let ends_leaving = report.status.is_some() && is_later;
        // Without a load report nothing is known of the rate limit.
        let ends_limit = ends_leaving && report.limit.is_some();
        let kept_limit = known.filter(|_| !ends_limit);
        let kept_leaving = known.filter(|_| !ends_leaving);
        let rate_limit = report
            .rate_limit
            .or_else(|| kept_limit.and_then(|known| known.rate_limit));
        let leaving = report
            .leaving
            .clone()
            .or_else(|| kept_leaving.and_then(|known| known.leaving.clone()));
        if rate_limit.is_none() && leaving.is_none() {
            return self.remove(endpoint);
        }
        let states = report.rate_limit.is_some() || report.leaving.is_some();
        let recorded = known
            .filter(|_| !states)
            .map_or(now, |known| known.recorded);
        let statement = Statement {
            rate_limit,
            leaving,
            recorded,
        };
        let services = self.nodes.entry(endpoint.node.clone()).or_default();
        services.insert(endpoint.service.clone(), statement);
    }

    /// What a target was last known to state.
    pub fn get(&self, endpoint: &endpoint::Endpoint) -> Option<&Statement> {
        self.nodes.get(&endpoint.node)?.get(&endpoint.service)
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
