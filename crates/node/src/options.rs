//! Options of a node.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use masticarch_model::{name, place};
use masticarch_policy::quarantine::record;
use masticarch_policy::retry_budget;
use masticarch_wire::handshake;

use crate::target;

/// Options of a node, set from the settings file or by a test.
#[derive(Clone, Debug, Builder)]
pub struct Options {
    /// Name of the node, unique in the fleet.
    pub name: name::Name,
    /// Region and failure domain.
    pub place: place::Place,
    /// Listening address for callers and for sub-calls of local targets.
    pub caller: SocketAddr,
    /// Listening address for other nodes.
    pub peer: SocketAddr,
    /// Address under which other nodes reach `peer`, when it differs.
    pub advertised: Option<SocketAddr>,
    /// Listening address for metrics, health, status and announcements.
    pub admin: SocketAddr,
    /// Service of the target beside the node. Every request that enters the fleet at
    /// this node carries it as the calling service.
    pub service: Option<name::Name>,
    /// Member ports of the control processes.
    pub control: Vec<SocketAddr>,
    /// Secret of the fleet, which nodes and control processes prove to each other.
    pub credential: handshake::Credential,
    /// Largest request body in bytes.
    #[builder(default = 1 << 20)]
    pub max_request_bytes: usize,
    /// Largest answer body in bytes.
    #[builder(default = 4 << 20)]
    pub max_answer_bytes: usize,
    /// Bytes that may be buffered at the same time of requests and of answers of other
    /// nodes; as many again may be buffered of answers of local targets.
    #[builder(default = 24 << 20)]
    pub buffer_bytes: usize,
    /// Longest time in the admission queue.
    #[builder(default = Duration::from_millis(100))]
    pub queue_limit: Duration,
    /// Longest wait for tokens of a team's rate.
    #[builder(default = Duration::from_millis(200))]
    pub rate_wait: Duration,
    /// Longest wait for tokens of a team's rate while the control leader does not answer.
    #[builder(default = Duration::from_millis(1500))]
    pub unanswered_rate_wait: Duration,
    /// Longest wait for the first configuration after a start.
    #[builder(default = Duration::from_millis(1200))]
    pub start_wait: Duration,
    /// Longest wait for requests in flight at shutdown.
    #[builder(default = Duration::from_mins(10))]
    pub drain_limit: Duration,
    /// Time after its last announcement at which a target is removed.
    #[builder(default = target::service::ANNOUNCEMENT_EXPIRY)]
    pub announcement_expiry: Duration,
    /// Time for which a node that is asked to stop, and no longer ready, still takes
    /// new requests, so that callers notice and go elsewhere.
    #[builder(default)]
    pub linger: Duration,
    /// Time for which a request is refused once three targets have crashed under it. It
    /// doubles with each further crash.
    #[builder(default = record::MIN_QUARANTINE)]
    pub min_quarantine: Duration,
    /// Limits of the retries to each service over the whole fleet. When absent, only
    /// the retry credit of each request bounds them.
    pub retry_limits: Option<retry_budget::Limits>,
    /// Longest wait for the services of the node to stop.
    #[builder(default = Duration::from_secs(10))]
    pub stop_limit: Duration,
    /// Whether the node applies overload protection, rate limits, retry budgets and
    /// claims. Experiments switch them off for their baseline.
    #[builder(default = true)]
    pub decisions: bool,
}
