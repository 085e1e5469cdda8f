//! Renews the node's leases of shares of team limits.

pub mod service;
