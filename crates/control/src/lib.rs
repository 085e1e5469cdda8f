//! Services of the control role: the processes on VMs with disks.

pub mod options;
