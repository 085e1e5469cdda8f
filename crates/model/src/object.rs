//! Objects of the configuration, of any kind.

use serde::{Deserialize, Serialize};

use crate::{key, kind, limit, name, priority, route, team};

/// One object that operators configure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A priority.
    Priority(priority::Priority),
    /// A limit.
    Limit(limit::Limit),
    /// A team.
    Team(team::Team),
    /// A key.
    Key(key::Key),
    /// A route.
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
