//! Order in which requests survive overload.

use serde::{Deserialize, Serialize};

use crate::name;

/// A level of importance. Priorities form one chain by `below`; the one without
/// it is the highest and is shed last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Name of the priority.
    pub name: name::Name,
    /// The next higher priority.
    #[serde(default)]
    pub below: Option<name::Name>,
}
