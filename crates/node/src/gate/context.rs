//! Context in which a request runs: its own, or the one inherited from its parent.

use std::time::Instant;

use fastrand::Rng;
use masticarch_model::directory;
use masticarch_policy::credit::allowance;

use crate::gate::request;
use crate::origin;

/// Context in which a request runs.
#[derive(Clone, Debug)]
pub struct Context {
    /// Id of the root request.
    pub root: Box<str>,
    /// Whether resends carry the same id, so that the ledger can recognise them.
    pub has_stable_id: bool,
    /// Rank of the priority: 0 is the highest.
    pub rank: u8,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Retry credit of the request.
    pub allowance: allowance::Allowance,
}

impl Context {
    /// The context of a request on a route with this rank. A sub-call inherits the one
    /// of its parent; a root request without an id gets a random one.
    pub fn new(
        directory: &directory::Directory,
        route: &directory::Route,
        rank: u8,
        request: request::Request,
        rng: &mut Rng,
        now: Instant,
    ) -> Self {
        let asked = request.priority.as_deref();
        let asked = asked.and_then(|name| directory.rank_named(name));
        let time = request.remaining.unwrap_or(route.timeout);
        let own_deadline = now + route.timeout.min(time);
        let mut context = match request.origin {
            origin::Origin::SubCall(parent) => Self::inherited(parent, own_deadline),
            origin::Origin::Caller(_) => Self {
                has_stable_id: request.has_stable_id,
                root: request.id.unwrap_or_else(|| random_id(rng)),
                rank,
                deadline: own_deadline,
                allowance: allowance::Allowance {
                    credit: route.retries,
                    repeat: false,
                },
            },
        };
        // A caller may only lower the priority.
        context.rank = asked.map_or(context.rank, |asked| asked.max(context.rank));
        context
    }

    fn inherited(parent: origin::Parent, own_deadline: Instant) -> Self {
        Self {
            root: parent.root,
            has_stable_id: false,
            rank: parent.rank,
            deadline: own_deadline.min(parent.deadline),
            allowance: allowance::Allowance {
                credit: parent.credit,
                repeat: parent.repeat,
            },
        }
    }
}

fn random_id(rng: &mut Rng) -> Box<str> {
    format!("{:032x}", rng.u128(..)).into()
}
