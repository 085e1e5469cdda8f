//! Teams to which callers belong.

use serde::{Deserialize, Serialize};

use crate::name;

/// A group of callers that shares keys, a limit and a weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: name::Name,
    /// The limit on the team's requests over the whole fleet.
    pub limit: name::Name,
    /// Priority of the team's requests, in place of that of their routes.
    #[serde(default)]
    pub priority: Option<name::Name>,
    /// Share of capacity within a priority under overload, 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u16,
}

const fn default_weight() -> u16 {
    1
}
