//! What a node is started with.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use masticarch_model::{name, place};
use masticarch_policy::retry_budget;
use masticarch_wire::handshake;

use crate::target;

/// What a node is started with.
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
    /// Service of the target beside the node, which its requests come from.
    pub service: Option<name::Name>,
    /// Member ports of the control processes.
    pub control: Vec<SocketAddr>,
    /// The fleet's secret.
    pub credential: handshake::Credential,
    /// Largest request body in bytes.
    #[builder(default = 1 << 20)]
    pub max_request_bytes: usize,
    /// Largest answer body in bytes.
    #[builder(default = 4 << 20)]
    pub max_answer_bytes: usize,
    /// Budget for all buffered bodies in bytes.
    #[builder(default = 24 << 20)]
    pub buffer_bytes: usize,
    /// Longest time in the admission queue.
    #[builder(default = Duration::from_millis(100))]
    pub queue_limit: Duration,
    /// Longest wait for tokens of a team's rate.
    #[builder(default = Duration::from_millis(200))]
    pub rate_wait: Duration,
    /// Longest wait for the first configuration after a start.
    #[builder(default = Duration::from_millis(1200))]
    pub start_wait: Duration,
    /// Longest wait for running requests at shutdown.
    #[builder(default = Duration::from_mins(10))]
    pub drain_limit: Duration,
    /// Time after its last announcement at which a target is gone.
    #[builder(default = target::service::EXPIRY)]
    pub announcement_expiry: Duration,
    /// Time for which a node that is asked to stop still takes requests, so that
    /// callers notice that it is no longer ready.
    #[builder(default)]
    pub linger: Duration,
    /// How many requests to a service may be repeated; unbounded when absent,
    /// apart from the retry credit of each request.
    pub repeats: Option<retry_budget::Limits>,
    /// Longest time for the services of the node to stop.
    #[builder(default = Duration::from_secs(10))]
    pub stop_limit: Duration,
    /// Whether the decisions on overload, rate, retries and claims are made.
    /// Experiments switch them off for their baseline.
    #[builder(default = true)]
    pub decisions: bool,
}
