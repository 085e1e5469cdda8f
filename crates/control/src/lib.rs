//! Services of the control role: the processes on VMs with disks.

pub mod agreement;
pub mod journal;
pub mod options;
