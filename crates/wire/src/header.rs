//! Names of the HTTP headers that masticarch reads and writes.

/// Caller's API key, `mk_<id>_<secret>`; `authorization: Bearer` is accepted too.
pub const KEY: &str = "masticarch-key";
/// Id of the root request of a call tree, the one that entered the fleet; a resend
/// has the same id.
pub const REQUEST_ID: &str = "masticarch-request-id";
/// Idempotency key that a caller chose for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time until the deadline of a request, in milliseconds.
pub const DEADLINE_MS: &str = "masticarch-deadline-ms";
/// Priority of a request. From a caller it is the name, and may only lower the
/// priority of the route; between nodes and to targets it is the rank, 0 being the
/// highest.
pub const PRIORITY: &str = "masticarch-priority";
/// Identifies a running call to its target, which sends it with its own calls.
pub const CONTEXT: &str = "masticarch-context";
/// Weight of the team within its priority. Sent between nodes.
pub const WEIGHT: &str = "masticarch-weight";
/// Name of the caller's team. Sent between nodes and to targets.
pub const TEAM: &str = "masticarch-team";
/// Service on the VM of the node where the request entered the fleet. Sent between
/// nodes.
pub const CALLER: &str = "masticarch-caller";
/// Name of the request's route. Sent between nodes.
pub const ROUTE: &str = "masticarch-route";
/// Name of the service that a request is for. Sent between nodes.
pub const SERVICE: &str = "masticarch-service";
/// Retry credit that goes with a request, or comes back with its answer.
pub const CREDIT: &str = "masticarch-credit";
/// Repeat mark: `1` when every execution of the request may repeat an earlier one and
/// therefore costs one retry credit, else `0`.
pub const REPEAT: &str = "masticarch-repeat";
/// Number of executions in the call tree of the request that is answered.
pub const EXECUTIONS: &str = "masticarch-executions";
/// Rank of the lowest priority that the target admits when it answers.
pub const OVERLOAD: &str = "masticarch-overload";
/// Admission limit and requests in flight of a target, as `limit/in-flight`.
pub const LIMIT: &str = "masticarch-limit";
/// Requests per second that a target takes from the whole fleet. Stated by targets in
/// their answers, and passed on between nodes.
pub const RATE_LIMIT: &str = "masticarch-rate-limit";
/// From a target: `1` when it is leaving. Between nodes: the run of the target that is.
pub const LEAVING: &str = "masticarch-leaving";
/// `1` on a request that is sent to its target although the target fails, because no other
/// one is known. Sent between nodes.
pub const INSIST: &str = "masticarch-insist";
/// `1` on an answer with an error that is due to a failed call of the target. Sent between
/// nodes.
pub const CALL_FAILED: &str = "masticarch-call-failed";
/// Number of a result code.
pub const CODE: &str = "masticarch-code";
/// Reason of a result code, in `snake_case`.
pub const REASON: &str = "masticarch-reason";
/// Whether the request was executed: `no`, `yes` or `unknown`.
pub const RAN: &str = "masticarch-ran";
/// Prefix of all headers above except the idempotency key. A header with this prefix
/// that comes from outside the fleet is never passed on unchanged.
pub const PREFIX: &str = "masticarch-";
