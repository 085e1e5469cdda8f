//! A target as the entry node knows it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{code, directory, incarnation, name};
use masticarch_policy::ewma;
use masticarch_policy::outlier::detector;
use masticarch_policy::route::{load, locality};
use masticarch_policy::shed::level;
use slotmap::new_key_type;

use crate::gate::{report, verdict};

new_key_type! {
    /// Copyable key of a target, kept over changes of the directory.
    pub struct RemoteKey;
}

/// Age at which what an answer said about overload no longer counts; a target
/// that nobody uses would otherwise seem overloaded for good.
const OVERLOAD_MAX_AGE: Duration = Duration::from_secs(1);

/// A target as the entry node knows it.
#[derive(Debug)]
pub struct Remote {
    /// Its key in the present directory.
    pub target: directory::TargetKey,
    /// Node beside it.
    pub node: name::Name,
    /// Run of that node.
    pub incarnation: incarnation::Incarnation,
    /// Peer port of that node; `None` when the target is beside this node.
    pub peer: Option<SocketAddr>,
    /// Distance.
    pub locality: locality::Locality,
    /// Whether it takes new work.
    pub serving: bool,
    /// Requests of this node in flight.
    pub in_flight: u32,
    /// Failures as seen from this node.
    pub detector: detector::Detector,
    limit: u32,
    reported_in_flight: u32,
    latency: ewma::Ewma,
    admitted: u8,
    reported: Option<Instant>,
}

impl Remote {
    /// A target of which nothing is known but its announcement.
    pub fn new(
        target: directory::TargetKey,
        node: &masticarch_model::node::Node,
        locality: locality::Locality,
        slots: u32,
    ) -> Self {
        Self {
            target,
            node: node.name.clone(),
            incarnation: node.incarnation,
            peer: None,
            locality,
            serving: true,
            in_flight: 0,
            detector: detector::Detector::default(),
            limit: slots,
            reported_in_flight: 0,
            latency: ewma::Ewma::default(),
            admitted: level::ALL,
            reported: None,
        }
    }

    /// Whether a new request may be sent to it.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.serving && !self.detector.is_ejected(now)
    }

    /// Whether it shed requests of this rank when it was last heard of.
    pub fn sheds(&self, rank: u8, now: Instant) -> bool {
        rank > self.admitted && self.is_fresh(now)
    }

    /// Its load for a request of this rank.
    pub fn load(&self, rank: u8, now: Instant) -> load::Load {
        let reported = if self.is_fresh(now) {
            self.reported_in_flight
        } else {
            0
        };
        load::Load {
            locality: self.locality,
            in_flight: self.in_flight.max(reported),
            limit: self.limit,
            latency: self.latency.mean(),
            shedding: self.sheds(rank, now),
        }
    }

    /// Learns from the end of an attempt; tells whether the target should be
    /// ejected.
    pub fn ended(&mut self, report: &report::Report, now: Instant) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.learn_load(report, now);
        match verdict::failure(report) {
            None => {
                self.latency.add(report.latency);
                self.detector.record_success(now);
                false
            }
            Some(code) if verdict::is_target_fault(code) => self.detector.record_failure(now),
            Some(code) => {
                // The directory will say so soon, unless the target returns.
                self.serving &= code != code::Code::Draining;
                false
            }
        }
    }

    fn learn_load(&mut self, report: &report::Report, now: Instant) {
        if let Some(admitted) = report.overload {
            self.admitted = admitted;
            self.reported = Some(now);
        }
        if let Some((limit, in_flight)) = report.limit {
            self.limit = limit;
            self.reported_in_flight = in_flight;
            self.reported = Some(now);
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.reported
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_MAX_AGE)
    }
}
