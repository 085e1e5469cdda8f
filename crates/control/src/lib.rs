//! Services of the control role: the processes on VMs with disks.

pub mod admin;
pub mod agreement;
pub mod bootstrap;
pub mod enrolment;
pub mod error;
pub mod event;
pub mod journal;
pub mod listener;
pub mod liveness;
pub mod member;
pub mod metrics;
pub mod name;
pub mod operator;
pub mod options;
pub mod outbound;
pub mod quota;
pub mod registry;
pub mod role;
pub mod services;
