//! Objects of the configuration, of any kind.

use serde::{Deserialize, Serialize};

use crate::{key, kind, limit, name, priority, route, team};

/// One object that operators configure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// Level of importance of requests under overload.
    Priority(priority::Priority),
    /// Rate limit, which teams refer to.
    Limit(limit::Limit),
    /// Group of callers with a common rate limit.
    Team(team::Team),
    /// API key of the callers of a team.
    Key(key::Key),
    /// Rules for the requests to a path.
    Route(route::Route),
}

impl Object {
    /// The kind of the object.
    #[must_use]
    pub const fn kind(&self) -> kind::Kind {
        match self {
            Self::Priority(_) => kind::Kind::Priority,
            Self::Limit(_) => kind::Kind::Limit,
            Self::Team(_) => kind::Kind::Team,
            Self::Key(_) => kind::Kind::Key,
            Self::Route(_) => kind::Kind::Route,
        }
    }

    /// Kind and name, which together identify the object.
    #[must_use]
    pub fn key(&self) -> (kind::Kind, name::Name) {
        (self.kind(), self.name().clone())
    }

    /// The name of the object.
    #[must_use]
    pub const fn name(&self) -> &name::Name {
        match self {
            Self::Priority(object) => &object.name,
            Self::Limit(object) => &object.name,
            Self::Team(object) => &object.name,
            Self::Key(object) => &object.name,
            Self::Route(object) => &object.name,
        }
    }
}
