//! Renews the node's shares of team limits.

pub mod service;
