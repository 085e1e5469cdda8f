//! Location of a VM in the topology of the fleet.

use serde::{Deserialize, Serialize};

use crate::name;

/// Location of a VM: its region and failure domain, from the settings of its node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region, which consists of failure domains.
    pub region: name::Name,
    /// Failure domain within the region, whose VMs may fail together.
    pub domain: name::Name,
}
