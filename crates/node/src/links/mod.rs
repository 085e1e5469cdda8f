//! Pools connections to other nodes, and probes them to detect those that no longer
//! respond.

pub mod message;
pub mod open;
pub mod probe;
pub mod service;
