//! Prometheus metrics of a node.

use masticarch_model::code;
use prometheus::{IntCounterVec, Opts, Registry};

/// Metrics of a node; cheap to clone. Labels take values from fixed lists only,
/// so that the number of series does not grow with teams, keys or callers.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
}

impl Metrics {
    /// Makes the metrics and their registry.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a metric is defined twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let refusals = IntCounterVec::new(
            Opts::new(
                "masticarch_refusals_total",
                "Requests refused to callers, by reason",
            ),
            &["reason"],
        )?;
        let retries = IntCounterVec::new(
            Opts::new(
                "masticarch_retries_total",
                "Further attempts, by the reason that the one before failed",
            ),
            &["reason"],
        )?;
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        Ok(Self {
            registry,
            refusals,
            retries,
        })
    }

    /// The registry, for further metrics and for exposition.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a refusal to a caller.
    pub fn refused(&self, code: code::Code) {
        self.refusals.with_label_values(&[code.reason()]).inc();
    }

    /// Counts a further attempt after one that failed for this reason.
    pub fn retried(&self, code: code::Code) {
        self.retries.with_label_values(&[code.reason()]).inc();
    }
}
