//! Metrics of the quarantine.

use masticarch_model::name;
use prometheus::{IntCounterVec, Opts};

use crate::metrics;

/// Metrics of the quarantine.
pub struct Counters {
    crashes: IntCounterVec,
}

impl Counters {
    /// Registers the metrics.
    ///
    /// # Errors
    /// [`prometheus::Error`] when they are registered already.
    pub fn new(metrics: &metrics::Metrics) -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "masticarch_target_crashes_total",
            "Ends of a target beside this node while it ran requests and was not leaving",
        );
        let crashes = IntCounterVec::new(options, &["service"])?;
        metrics.registry().register(Box::new(crashes.clone()))?;
        Ok(Self { crashes })
    }

    /// Counts a crash of the target of a service.
    pub fn crashed(&self, service: &name::Name) {
        self.crashes.with_label_values(&[&**service]).inc();
    }
}
