//! What the tasks of a node share: addresses of services and settings.

use std::rc::Rc;

use masticarch_kernel::{address, error, registry, stop};
use masticarch_model::incarnation;
use masticarch_wire::http::{budget, connection};

use crate::{
    activity, admission, claims, contacts, gate, ledger, links, metrics, name, options, session,
    sync, target,
};

/// Addresses of the services that connection tasks use, and the settings.
#[derive(Clone)]
pub struct Services {
    /// Settings.
    pub options: Rc<options::Options>,
    /// Run of this process.
    pub incarnation: incarnation::Incarnation,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Requests in flight.
    pub activity: activity::Activity,
    /// Where control processes are reached.
    pub contacts: contacts::Contacts,
    /// Bound on all buffered bodies.
    pub budget: budget::Budget,
    /// Decisions at the entry.
    pub gate: address::Address<gate::message::Message>,
    /// Decisions beside the target.
    pub admission: address::Address<admission::message::Message>,
    /// Retry credit of request ids.
    pub ledger: address::Address<ledger::message::Message>,
    /// Claims.
    pub claims: address::Address<claims::message::Message>,
    /// Connections to other nodes.
    pub links: address::Address<links::message::Message>,
    /// Local targets.
    pub target: address::Address<target::message::Message>,
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
    ) -> Result<Self, error::Error> {
        let budget = budget::Budget::new(options.buffer_bytes);
        let contacts = contacts::Contacts::new(&options.control);
        Ok(Self {
            options,
            contacts,
            incarnation,
            metrics,
            activity: activity::Activity::default(),
            budget,
            gate: registry.lookup(name::GATE)?,
            admission: registry.lookup(name::ADMISSION)?,
            ledger: registry.lookup(name::LEDGER)?,
            claims: registry.lookup(name::CLAIMS)?,
            links: registry.lookup(name::LINKS)?,
            target: registry.lookup(name::TARGET)?,
            sync: registry.lookup(name::SYNC)?,
        })
    }

    /// Space for request bodies.
    #[must_use]
    pub fn request_space(&self) -> connection::BodyLimits {
        self.space(self.options.max_request_bytes)
    }

    /// Space for bodies of answers.
    #[must_use]
    pub fn answer_space(&self) -> connection::BodyLimits {
        self.space(self.options.max_answer_bytes)
    }

    /// Space for bodies up to this many bytes.
    #[must_use]
    pub fn space(&self, max_bytes: usize) -> connection::BodyLimits {
        connection::BodyLimits {
            max_bytes,
            budget: self.budget.clone(),
        }
    }

    /// What the connections of a port share.
    #[must_use]
    pub fn session(&self, stop: &stop::Stop) -> session::Context {
        session::Context {
            space: self.request_space(),
            activity: self.activity.clone(),
            stop: stop.clone(),
        }
    }
}
