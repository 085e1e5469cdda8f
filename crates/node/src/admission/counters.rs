//! Metrics of admission.

use masticarch_model::code;
use prometheus::{IntCounterVec, Opts};

use crate::metrics;

/// Metrics of admission.
pub struct Counters {
    denials: IntCounterVec,
}

impl Counters {
    /// Registers the metrics.
    ///
    /// # Errors
    /// [`prometheus::Error`] when they are registered already.
    pub fn new(metrics: &metrics::Metrics) -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "masticarch_admission_denials_total",
            "Requests not run at a target beside this node, by reason",
        );
        let denials = IntCounterVec::new(options, &["reason"])?;
        metrics.registry().register(Box::new(denials.clone()))?;
        Ok(Self { denials })
    }

    /// Counts a request that was not run.
    pub fn denied(&self, code: code::Code) {
        self.denials.with_label_values(&[code.reason()]).inc();
    }
}
