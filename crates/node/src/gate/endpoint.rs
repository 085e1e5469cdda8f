//! A target as an endpoint of load balancing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{code, directory, incarnation, name, node, target};
use masticarch_policy::estimate::slowness;
use masticarch_policy::outlier::detector;
use masticarch_policy::route::{load, locality};
use masticarch_policy::shed::level;
use slotmap::new_key_type;

use crate::gate::{classify, report};

new_key_type! {
    /// Key of a target, kept over changes of the directory.
    pub struct EndpointKey;
}

/// Age from which a load report is ignored. A target that gets no requests sends no
/// newer one, and would otherwise seem overloaded for good.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Time for which a target that is leaving is not chosen. Afterwards a request may find
/// another run there: the directory does not change if that run has replaced the leaving
/// one between two announcements of their node.
const LEAVING_RECHECK: Duration = Duration::from_millis(200);

/// Time for which a target that fails, according to its node, is not chosen.
const FAILING_RECHECK: Duration = Duration::from_millis(500);

/// A target as the entry node knows it: from the directory, and from the answers to
/// its own requests.
#[derive(Debug)]
pub struct Endpoint {
    /// Key of the target in the installed directory.
    pub target: directory::TargetKey,
    /// Node beside the target.
    pub node: name::Name,
    /// Service of the target.
    pub service: name::Name,
    /// Incarnation of that node.
    pub incarnation: incarnation::Incarnation,
    /// Peer port of that node; `None` when the target is beside this node.
    pub peer: Option<SocketAddr>,
    /// Distance from this node.
    pub locality: locality::Locality,
    /// Whether the target takes new requests according to the directory.
    pub serving: bool,
    /// Requests of this node in flight at the target.
    pub in_flight: u32,
    /// Failures as seen from this node, for outlier ejection.
    pub detector: detector::Detector,
    limit: u32,
    reported_in_flight: u32,
    slowness: slowness::Slowness,
    admitted_rank: u8,
    reported_at: Option<Instant>,
    leaving_until: Option<Instant>,
    /// Until when requests go elsewhere, because the target fails.
    failing_until: Option<Instant>,
}

impl Endpoint {
    /// A target of which nothing is known but its announcement.
    pub fn new(
        target: directory::TargetKey,
        record: &target::Target,
        node: &node::Node,
        locality: locality::Locality,
        now: Instant,
    ) -> Self {
        Self {
            target,
            node: node.name.clone(),
            service: record.service.clone(),
            incarnation: node.incarnation,
            peer: None,
            locality,
            serving: true,
            in_flight: 0,
            detector: detector::Detector::default(),
            limit: record.slots,
            reported_in_flight: 0,
            slowness: slowness::Slowness::new(now),
            admitted_rank: level::ALL,
            reported_at: None,
            leaving_until: None,
            failing_until: None,
        }
    }

    /// Whether a new request may be sent to the target.
    pub fn is_usable(&self, now: Instant) -> bool {
        let leaving = self.leaving_until.is_some_and(|until| now < until);
        self.serving && !leaving && !self.detector.is_ejected(now)
    }

    /// Whether the node beside the target has refused a request because the target fails.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failing_until.is_some_and(|until| now < until)
    }

    /// Whether the target sheds requests of this rank according to its last load report.
    pub fn sheds(&self, rank: u8, now: Instant) -> bool {
        rank > self.admitted_rank && self.is_fresh(now)
    }

    /// Load of the target for a request of this rank. `expected` is the mean latency of such
    /// requests over all targets.
    pub fn load(&self, rank: u8, expected: Duration, now: Instant) -> load::Load {
        let reported = if self.is_fresh(now) {
            self.reported_in_flight
        } else {
            0
        };
        load::Load {
            locality: self.locality,
            in_flight: self.in_flight.max(reported),
            limit: self.limit,
            latency: self.slowness.apply(expected, now),
            shedding: self.sheds(rank, now),
        }
    }

    /// Records the end of an attempt, where `expected` is the mean latency of such requests
    /// over all targets; returns whether the target should be ejected.
    pub fn record_end(
        &mut self,
        report: &report::Report,
        expected: Duration,
        now: Instant,
    ) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.update_load(report, now);
        if report.leaving.is_some() || report.failure == Some(code::Code::Draining) {
            self.leaving_until = Some(now + LEAVING_RECHECK);
        }
        if report.failure == Some(code::Code::TargetEjected) {
            self.failing_until = Some(now + FAILING_RECHECK);
        }
        match classify::failure(report) {
            None => {
                self.slowness.record(report.latency, expected, now);
                self.detector.record_success(now);
                false
            }
            Some(code) if classify::is_target_fault(code) && !report.call_failed => {
                self.detector.record_failure(now)
            }
            Some(_) => false,
        }
    }

    fn update_load(&mut self, report: &report::Report, now: Instant) {
        if let Some(admitted_rank) = report.overload {
            self.admitted_rank = admitted_rank;
            self.reported_at = Some(now);
        }
        if let Some((limit, in_flight)) = report.limit {
            self.limit = limit;
            self.reported_in_flight = in_flight;
            self.reported_at = Some(now);
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOAD_REPORT_MAX_AGE)
    }
}
