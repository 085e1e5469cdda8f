//! Names of the headers that masticarch reads and writes.

/// Caller's key, `mk_<id>_<secret>`; `authorization: Bearer` is accepted too.
pub const KEY: &str = "masticarch-key";
/// Id of a root request; a resend carries the same id.
pub const REQUEST_ID: &str = "masticarch-request-id";
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Remaining time of a request in milliseconds.
pub const DEADLINE_MS: &str = "masticarch-deadline-ms";
/// Name of the priority; a caller may only lower it. Between nodes and to
/// targets it holds the rank, 0 being the highest.
pub const PRIORITY: &str = "masticarch-priority";
/// Handle of the running call, given to targets for their own calls.
pub const CONTEXT: &str = "masticarch-context";
/// Weight of the team within its priority, between nodes.
pub const WEIGHT: &str = "masticarch-weight";
/// Team for which a request runs, as targets and nodes see it.
pub const TEAM: &str = "masticarch-team";
/// Service beside the node where a request entered the fleet, between nodes.
pub const CALLER: &str = "masticarch-caller";
/// Route of a request between nodes.
pub const ROUTE: &str = "masticarch-route";
/// Service of a request between nodes.
pub const SERVICE: &str = "masticarch-service";
/// Retry credit lent with a request, or returned with an answer.
pub const CREDIT: &str = "masticarch-credit";
/// `1` when every execution of the request costs one credit.
pub const REPEAT: &str = "masticarch-repeat";
/// Number of executions in the call tree below an answer.
pub const EXECUTIONS: &str = "masticarch-executions";
/// Lowest priority rank that the target admits at present.
pub const OVERLOAD: &str = "masticarch-overload";
/// Admission limit and requests in flight of a target, as `limit/in-flight`.
pub const LIMIT: &str = "masticarch-limit";
/// Number of a result code.
pub const CODE: &str = "masticarch-code";
/// Reason of a result code.
pub const REASON: &str = "masticarch-reason";
/// Whether the work ran: `no`, `yes` or `unknown`.
pub const RAN: &str = "masticarch-ran";
/// Prefix of all headers above but the idempotency key; headers with this
/// prefix from outside the fleet are never passed on as they came.
pub const PREFIX: &str = "masticarch-";
