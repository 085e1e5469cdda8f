//! Teams to which callers belong.

use serde::{Deserialize, Serialize};

use crate::name;

/// A group of callers with common keys, a common rate limit and a weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: name::Name,
    /// Name of the rate limit on the team's requests over the whole fleet.
    pub limit: name::Name,
    /// Priority of the team's requests; when absent, their routes set it.
    #[serde(default)]
    pub priority: Option<name::Name>,
    /// Share of capacity within a priority under overload, relative to the other
    /// teams, 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u16,
}

const fn default_weight() -> u16 {
    1
}
