//! Data of one run of the system or of its baseline.

use std::collections::BTreeMap;

use crate::generator;
use crate::standin::record;

/// Data of one run, from which measures are computed.
pub struct Trial {
    /// Plan of the load and records of all attempts.
    pub report: generator::Report,
    /// Executions by service, summed over its stand-ins.
    pub executions: BTreeMap<String, record::Executions>,
    /// Processor time that all nodes used during the load, in seconds.
    pub node_seconds: f64,
}

impl Trial {
    /// Adds the executions of one stand-in to the sum of its service.
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
