//! Prometheus metrics of a control process.

use masticarch_model::code;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of a control process; cheap to clone. Labels take values from fixed
/// lists only.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    handshake_failures: IntCounterVec,
    expired: IntCounter,
    version: IntGauge,
    leads: IntGauge,
}

impl Metrics {
    /// Makes the metrics and registers them.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a metric is defined twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            calls: counters("masticarch_control_calls_total", "Calls, by name", "call")?,
            refusals: counters(
                "masticarch_control_refusals_total",
                "Calls and commands that were refused, by reason",
                "reason",
            )?,
            handshake_failures: counters(
                "masticarch_control_handshake_failures_total",
                "Connections closed in the handshake, by port",
                "port",
            )?,
            expired: IntCounter::new(
                "masticarch_control_expired_nodes_total",
                "Nodes removed because they were silent",
            )?,
            version: IntGauge::new(
                "masticarch_control_version",
                "Log index applied to the catalog",
            )?,
            leads: IntGauge::new("masticarch_control_leads", "1 on the leader, else 0")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(self.calls.clone()))?;
        self.registry.register(Box::new(self.refusals.clone()))?;
        self.registry
            .register(Box::new(self.handshake_failures.clone()))?;
        self.registry.register(Box::new(self.expired.clone()))?;
        self.registry.register(Box::new(self.version.clone()))?;
        self.registry.register(Box::new(self.leads.clone()))
    }

    /// The registry, to which further services add their metrics.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a metric cannot be encoded.
    pub fn expose(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Counts a call.
    pub fn called(&self, call: &'static str) {
        self.calls.with_label_values(&[call]).inc();
    }

    /// Counts a refused call or command.
    pub fn refused(&self, code: code::Code) {
        self.refusals.with_label_values(&[code.reason()]).inc();
    }

    /// Counts a connection that did not pass the handshake.
    pub fn handshake_failed(&self, port: &'static str) {
        self.handshake_failures.with_label_values(&[port]).inc();
    }

    /// Counts nodes that were removed because they were silent.
    pub fn expired(&self, nodes: usize) {
        self.expired.inc_by(nodes as u64);
    }

    /// Sets the log index up to which the catalog is complete.
    pub fn applied(&self, index: u64) {
        self.version.set(i64::try_from(index).unwrap_or(i64::MAX));
    }

    /// Sets whether this process leads.
    pub fn leads(&self, leads: bool) {
        self.leads.set(i64::from(leads));
    }
}

fn counters(name: &str, help: &str, label: &str) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}
