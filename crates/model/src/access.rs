//! Access rules of routes.

use serde::{Deserialize, Serialize};

use crate::name;

/// The callers that may use a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Every caller, with or without a key.
    Open,
    /// Callers with a valid key, of any team.
    Keyed,
    /// Callers with a valid key of one of these teams.
    Teams(Vec<name::Name>),
}
