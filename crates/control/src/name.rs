//! Names of the services of the control role.

use masticarch_kernel::name::Name;

/// The replicated log.
pub const AGREEMENT: Name = Name::new("agreement");
/// Connections to the other members.
pub const OUTBOUND: Name = Name::new("outbound");
/// Owner of the catalog.
pub const REGISTRY: Name = Name::new("registry");
/// Owner of the rate shares.
pub const QUOTA: Name = Name::new("allotment");
/// Owner of the times of last contact.
pub const LIVENESS: Name = Name::new("membership");
/// Listener for members and nodes.
pub const MEMBER: Name = Name::new("member");
/// Listener for operators.
pub const OPERATOR: Name = Name::new("operator");
/// Listener for metrics and health.
pub const ADMIN: Name = Name::new("admin");
/// Task that asks the group to take this process in.
pub const ENROLMENT: Name = Name::new("enrolment");
/// Task that removes silent nodes.
pub const EXPIRY: Name = Name::new("expiry");
/// Task that forgets settled claims.
pub const RETENTION: Name = Name::new("retention");
