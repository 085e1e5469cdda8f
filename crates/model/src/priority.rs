//! Priorities, by which requests are shed under overload.

use serde::{Deserialize, Serialize};

use crate::name;

/// A level of importance. The `below` references order all priorities in one
/// chain. The one without `below` is the highest, and its requests are shed last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Name of the priority.
    pub name: name::Name,
    /// The next higher priority.
    #[serde(default)]
    pub below: Option<name::Name>,
}
