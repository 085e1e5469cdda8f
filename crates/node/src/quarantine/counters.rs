//! Metrics of the quarantine.

use masticarch_model::name;
use prometheus::{IntCounterVec, IntGauge, Opts};

use crate::metrics;

/// Metrics of the quarantine.
pub struct Counters {
    crashes: IntCounterVec,
    quarantined: IntGauge,
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
        let quarantined = IntGauge::new(
            "masticarch_quarantined_requests",
            "Requests under which targets have crashed again and again",
        )?;
        metrics.registry().register(Box::new(quarantined.clone()))?;
        Ok(Self {
            crashes,
            quarantined,
        })
    }

    /// Counts a crash of the target of a service.
    pub fn crashed(&self, service: &name::Name) {
        self.crashes.with_label_values(&[&**service]).inc();
    }

    /// Sets the number of quarantined requests.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
