//! Leases shares of the teams' rate limits to nodes.

pub mod message;
pub mod service;
