//! One step of a change.

use serde::{Deserialize, Serialize};

use crate::{configuration, kind, name, object};

/// One step of a change to the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Creates or replaces an object.
    Put(object::Object),
    /// Removes an object.
    Delete(kind::Kind, name::Name),
    /// Replaces the whole configuration.
    Replace(configuration::Configuration),
}
