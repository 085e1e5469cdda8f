//! Edits of the configuration.

use serde::{Deserialize, Serialize};

use crate::{configuration, kind, name, object};

/// One operation of a [`crate::change::Change`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Creates the object, or replaces the one of the same kind and name.
    Put(object::Object),
    /// Removes the object of this kind and name.
    Delete(kind::Kind, name::Name),
    /// Replaces the whole configuration.
    Replace(configuration::Configuration),
}
