//! Names of the services of a node.

use masticarch_kernel::name;

/// Follows the control leader for configuration and membership.
pub const SYNC: name::Name = name::Name::new("sync");
/// Renews the node's leases of shares of team limits.
pub const LEASE: name::Name = name::Name::new("lease");
/// Decides on requests at the node where they enter the fleet.
pub const GATE: name::Name = name::Name::new("gate");
/// Decides on requests at the node beside their target.
pub const ADMISSION: name::Name = name::Name::new("admission");
/// Keeps the retry credit of the request ids whose home is this node.
pub const LEDGER: name::Name = name::Name::new("ledger");
/// Claims non-idempotent requests at the control leader.
pub const CLAIMS: name::Name = name::Name::new("claims");
/// Keeps the connections to other nodes.
pub const LINKS: name::Name = name::Name::new("links");
/// Keeps announcements of, and connections to, the targets beside the node.
pub const TARGET: name::Name = name::Name::new("target");
/// Finds out which requests crash the targets beside the node.
pub const QUARANTINE: name::Name = name::Name::new("quarantine");
/// Accepts connections of callers and of local targets.
pub const CALLER: name::Name = name::Name::new("caller");
/// Accepts connections of other nodes.
pub const PEER: name::Name = name::Name::new("peer");
/// Maintains the metrics.
pub const METRICS: name::Name = name::Name::new("metrics");
/// Serves metrics, health, status and announcements.
pub const ADMIN: name::Name = name::Name::new("admin");
