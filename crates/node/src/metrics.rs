//! Prometheus metrics of a node.

use std::time::{Duration, Instant};

use masticarch_model::{code, version};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::log_limiter;

/// Upper bounds of the queue time histogram; the default limit of the queue time is
/// 100 ms.
const QUEUE_BUCKETS_SECONDS: [f64; 8] = [0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5];

/// Metrics of a node; clones share them. Labels take values from fixed lists only,
/// so that the number of series does not grow with teams, keys or callers.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    answers: IntCounterVec,
    connections: IntGaugeVec,
    queue: Histogram,
    version: IntGauge,
    currency: Gauge,
    in_flight: IntGauge,
    log_limiter: log_limiter::Limiter,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    gauge: IntGauge,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl Metrics {
    /// Creates and registers the metrics.
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
        let answers = IntCounterVec::new(
            Opts::new(
                "masticarch_answers_total",
                "Whole answers of targets passed on to callers, by class of status",
            ),
            &["class"],
        )?;
        let connections = IntGaugeVec::new(
            Opts::new(
                "masticarch_connections",
                "Accepted connections that are open, by port",
            ),
            &["port"],
        )?;
        let queue = Histogram::with_opts(
            HistogramOpts::new(
                "masticarch_queue_seconds",
                "Time from asking admission to leave to run",
            )
            .buckets(QUEUE_BUCKETS_SECONDS.to_vec()),
        )?;
        let version = IntGauge::new("masticarch_version", "Version of the state that is held")?;
        let currency = Gauge::new(
            "masticarch_currency_seconds",
            "Time since the held state was known to be current",
        )?;
        let in_flight = IntGauge::new("masticarch_in_flight", "Requests in flight")?;
        let suppressed = IntCounter::new(
            "masticarch_log_lines_suppressed_total",
            "Decisions without a line in the log, because too many were written",
        )?;
        registry.register(Box::new(suppressed.clone()))?;
        let log_limiter = log_limiter::Limiter::new(suppressed, Instant::now());
        registry.register(Box::new(refusals.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(queue.clone()))?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(currency.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        Ok(Self {
            registry,
            refusals,
            retries,
            answers,
            connections,
            queue,
            version,
            currency,
            in_flight,
            log_limiter,
        })
    }

    /// The registry, for further metrics and for exposition.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Whether a line about a single request may be written to the log now.
    #[must_use]
    pub fn may_log(&self) -> bool {
        self.log_limiter.allow(Instant::now())
    }

    /// Counts a refusal to a caller.
    pub fn refused(&self, code: code::Code) {
        self.refusals.with_label_values(&[code.reason()]).inc();
    }

    /// Counts a further attempt after one that failed for this reason.
    pub fn retried(&self, code: code::Code) {
        self.retries.with_label_values(&[code.reason()]).inc();
    }

    /// Counts a whole answer passed on to a caller.
    pub fn answered(&self, status: u16) {
        let class = match status {
            100..=199 => "1xx",
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        self.answers.with_label_values(&[class]).inc();
    }

    /// Counts an open connection on a port until the guard is dropped.
    #[must_use]
    pub fn opened(&self, port: &'static str) -> ConnectionGuard {
        let gauge = self.connections.with_label_values(&[port]);
        gauge.inc();
        ConnectionGuard { gauge }
    }

    /// Records the time that a request waited for admission.
    pub fn queued(&self, time: Duration) {
        self.queue.observe(time.as_secs_f64());
    }

    /// Sets the version of the configuration and membership that the node has.
    pub fn set_version(&self, version: version::Version) {
        self.version
            .set(i64::try_from(version.0).unwrap_or(i64::MAX));
    }

    /// Sets the time since the configuration was last known to be current; infinite
    /// when it never was.
    pub fn set_currency(&self, age: Option<Duration>) {
        self.currency
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, count: usize) {
        self.in_flight.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn expose(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding fails only at a metric without series; `gather` leaves those out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
