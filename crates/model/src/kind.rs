//! Kinds of objects in the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The kind of an object that operators configure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// See [`crate::priority::Priority`].
    Priority,
    /// See [`crate::limit::Limit`].
    Limit,
    /// See [`crate::team::Team`].
    Team,
    /// See [`crate::key::Key`].
    Key,
    /// See [`crate::route::Route`].
    Route,
}

impl Kind {
    /// Every kind; objects refer only to objects of the same or an earlier kind.
    pub const ALL: [Self; 5] = [
        Self::Priority,
        Self::Limit,
        Self::Team,
        Self::Key,
        Self::Route,
    ];

    /// The kind in lower case, as in documents and messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Priority => "priority",
            Self::Limit => "limit",
            Self::Team => "team",
            Self::Key => "key",
            Self::Route => "route",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
