//! Where a process runs.

use serde::{Deserialize, Serialize};

use crate::name;

/// The region and failure domain of a VM, known from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region of the VM.
    pub region: name::Name,
    /// Failure domain within the region.
    pub domain: name::Name,
}
