//! Names of the services of the control role, as logs show them.

use masticarch_kernel::name::Name;

/// The replicated log and its Raft state.
pub const AGREEMENT: Name = Name::new("agreement");
/// Sends messages to the other members of the control group.
pub const OUTBOUND: Name = Name::new("outbound");
/// State machine that applies commands to the catalog.
pub const REGISTRY: Name = Name::new("registry");
/// Leases shares of the teams' rate limits to nodes.
pub const QUOTA: Name = Name::new("allotment");
/// Keeps the times of last contact with nodes.
pub const LIVENESS: Name = Name::new("membership");
/// Accept loop of the port for members and nodes.
pub const MEMBER: Name = Name::new("member");
/// Accept loop of the port for operators.
pub const OPERATOR: Name = Name::new("operator");
/// Accept loop of the port for metrics and health.
pub const ADMIN: Name = Name::new("admin");
/// Task that asks the group to make this process a member.
pub const JOIN: Name = Name::new("enrolment");
/// Task that removes silent nodes.
pub const EXPIRY: Name = Name::new("expiry");
/// Task that removes settled claims after their retention.
pub const RETENTION: Name = Name::new("retention");
