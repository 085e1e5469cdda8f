//! Addresses of a node's services, and what its tasks share.

use std::rc::Rc;

use masticarch_kernel::{address, error, registry, stop};
use masticarch_model::incarnation;
use masticarch_wire::http::{budget, connection};

use crate::{
    admission, claims, contacts, gate, in_flight, ledger, links, metrics, name, options,
    quarantine, session, sync, target,
};

/// Budget of a port for probes or announcements, in bytes.
const SIDE_BUFFER_BYTES: usize = 2 << 20;

/// Addresses of the services, the options, and counters and bounds over all
/// connections.
#[derive(Clone)]
pub struct Services {
    /// Options that the node was started with.
    pub options: Rc<options::Options>,
    /// Incarnation of this process; every start has another one.
    pub incarnation: incarnation::Incarnation,
    /// Metrics that requests are counted in.
    pub metrics: metrics::Metrics,
    /// Set when the node is about to end: requests in flight get their final answers.
    pub cutoff: stop::Stop,
    /// Requests in flight, which a shutdown waits for.
    pub in_flight: in_flight::Counter,
    /// Addresses of the control processes.
    pub contacts: contacts::Contacts,
    /// Bound on the bytes of all buffered messages but the answers of local targets.
    pub budget: budget::Budget,
    /// Bound on the bytes of buffered answers of local targets. It is separate, so that a
    /// target whose answers have no end takes nothing from other requests.
    pub target_budget: budget::Budget,
    /// Decides on requests that enter the fleet here.
    pub gate: address::Address<gate::message::Message>,
    /// Decides on requests to local targets.
    pub admission: address::Address<admission::message::Message>,
    /// Retry credit of the request ids whose home is this node.
    pub ledger: address::Address<ledger::message::Message>,
    /// Claims of requests that may run only once.
    pub claims: address::Address<claims::message::Message>,
    /// Connections to other nodes.
    pub links: address::Address<links::message::Message>,
    /// Announcements of local targets and connections to them.
    pub target: address::Address<target::message::Message>,
    /// Requests that crash targets.
    pub quarantine: address::Address<quarantine::message::Message>,
    /// Requests that the quarantine may know.
    pub suspects: quarantine::filter::Filter,
    /// Configuration and membership.
    pub sync: address::Address<sync::message::Message>,
}

impl Services {
    /// Looks up the services by name.
    ///
    /// # Errors
    /// [`error::Error::Unknown`] when one is not registered.
    pub fn new(
        registry: &registry::Registry,
        options: Rc<options::Options>,
        incarnation: incarnation::Incarnation,
        metrics: metrics::Metrics,
        cutoff: stop::Stop,
    ) -> Result<Self, error::Error> {
        let budget = budget::Budget::new(options.buffer_bytes);
        let target_budget = budget::Budget::new(options.buffer_bytes);
        let contacts = contacts::Contacts::new(&options.control);
        Ok(Self {
            options,
            contacts,
            incarnation,
            metrics,
            cutoff,
            in_flight: in_flight::Counter::default(),
            budget,
            target_budget,
            gate: registry.lookup(name::GATE)?,
            admission: registry.lookup(name::ADMISSION)?,
            ledger: registry.lookup(name::LEDGER)?,
            claims: registry.lookup(name::CLAIMS)?,
            links: registry.lookup(name::LINKS)?,
            target: registry.lookup(name::TARGET)?,
            suspects: quarantine::filter::Filter::default(),
            quarantine: registry.lookup(name::QUARANTINE)?,
            sync: registry.lookup(name::SYNC)?,
        })
    }

    /// Limits for request bodies.
    #[must_use]
    pub fn request_limits(&self) -> connection::BodyLimits {
        self.body_limits(self.options.max_request_bytes)
    }

    /// Limits for answers of other nodes.
    #[must_use]
    pub fn answer_limits(&self) -> connection::BodyLimits {
        self.body_limits(self.options.max_answer_bytes)
    }

    /// Limits for answers of local targets.
    #[must_use]
    pub fn target_limits(&self) -> connection::BodyLimits {
        connection::BodyLimits {
            max_bytes: self.options.max_answer_bytes,
            budget: self.target_budget.clone(),
        }
    }

    /// Limits for bodies of up to `max_bytes` each, within the budget of the node.
    #[must_use]
    pub fn body_limits(&self, max_bytes: usize) -> connection::BodyLimits {
        connection::BodyLimits {
            max_bytes,
            budget: self.budget.clone(),
        }
    }

    /// What the connections of a port for probes or announcements share, whose requests
    /// have bodies of up to `max_bytes`. Their budget is their own, so that bytes without
    /// end on such a port take nothing from the requests of callers.
    #[must_use]
    pub fn side_context(&self, max_bytes: usize, stop: &stop::Stop) -> session::Context {
        session::Context {
            body_limits: connection::BodyLimits {
                max_bytes,
                budget: budget::Budget::new(SIDE_BUFFER_BYTES),
            },
            ..self.session_context(stop)
        }
    }

    /// What the connections of a port share.
    #[must_use]
    pub fn session_context(&self, stop: &stop::Stop) -> session::Context {
        session::Context {
            body_limits: self.request_limits(),
            in_flight: self.in_flight.clone(),
            stop: stop.clone(),
        }
    }
}
