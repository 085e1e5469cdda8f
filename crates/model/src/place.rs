//! Location of a VM in the topology of the fleet.

use serde::{Deserialize, Serialize};

use crate::name;

/// The region and failure domain of a VM. Settings state them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region, which is made up of failure domains.
    pub region: name::Name,
    /// Failure domain within the region, whose VMs may fail together.
    pub domain: name::Name,
}
