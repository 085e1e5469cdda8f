//! The control role: a replicated registry of nodes, targets and configuration.
//!
//! Control processes run on VMs with disks and form one Raft group. The leader
//! answers the long polls of nodes, leases shares of the teams' rate limits to
//! them, commits claims on requests, and takes configuration changes from
//! operators.

pub mod admin;
pub mod agreement;
pub mod bootstrap;
pub mod error;
pub mod event;
pub mod join;
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
