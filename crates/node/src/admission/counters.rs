//! Metrics of admission.

use masticarch_model::{code, name};
use prometheus::{GaugeVec, IntCounterVec, Opts};

use crate::metrics;
use crate::protocol::notice;

/// Metrics of admission.
pub struct Counters {
    denials: IntCounterVec,
    permits: IntCounterVec,
    rate_limit: GaugeVec,
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
        let options = Opts::new(
            "masticarch_admission_permits_total",
            "Requests permitted to run at a target beside this node",
        );
        let permits = IntCounterVec::new(options, &["service"])?;
        let options = Opts::new(
            "masticarch_target_rate_limit",
            "Requests per second that a target beside this node states as its limit",
        );
        let rate_limit = GaugeVec::new(options, &["service"])?;
        let registry = metrics.registry();
        registry.register(Box::new(denials.clone()))?;
        registry.register(Box::new(permits.clone()))?;
        registry.register(Box::new(rate_limit.clone()))?;
        Ok(Self {
            denials,
            permits,
            rate_limit,
        })
    }

    /// Counts a request that was not run.
    pub fn denied(&self, code: code::Code) {
        self.denials.with_label_values(&[code.reason()]).inc();
    }

    /// Counts a request that was permitted to run.
    pub fn permitted(&self, service: &name::Name) {
        self.permits.with_label_values(&[&**service]).inc();
    }

    /// Requests permitted to run so far.
    pub fn permits(&self, service: &name::Name) -> u64 {
        self.permits.with_label_values(&[&**service]).get()
    }

    /// Sets the rate limit that a target states; infinite when it states none.
    pub fn stated(&self, service: &name::Name, limit: notice::RateLimit) {
        let rate = match limit {
            notice::RateLimit::Absent => f64::INFINITY,
            notice::RateLimit::PerSecond(rate) => rate,
            notice::RateLimit::Unreadable => return,
        };
        self.rate_limit.with_label_values(&[&**service]).set(rate);
    }
}
