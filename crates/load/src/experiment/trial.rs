//! What one run of the system or of its baseline has shown.

use std::collections::BTreeMap;

use crate::generator;
use crate::standin::record;

/// What one run has shown.
pub struct Trial {
    /// Records of all requests.
    pub report: generator::Report,
    /// Executions of all stand-ins of a service together, by service.
    pub executions: BTreeMap<String, record::Executions>,
    /// Processor time of all nodes during the load, in seconds.
    pub node_seconds: f64,
}

impl Trial {
    /// Adds the executions of one stand-in.
    pub fn add_executions(
        executions: &mut BTreeMap<String, record::Executions>,
        service: &str,
        more: record::Executions,
    ) {
        let sum = executions.entry(service.to_owned()).or_default();
        sum.total += more.total;
        sum.keys_seen += more.keys_seen;
        for (id, count) in more.by_request_id {
            *sum.by_request_id.entry(id).or_default() += count;
        }
        for (key, count) in more.by_idempotency_key {
            *sum.by_idempotency_key.entry(key).or_default() += count;
        }
    }
}
