//! The service that leases shares of the teams' rate limits to nodes.
//!
//! It handles the messages and the leader's role; the accounting is that of
//! [`masticarch_policy::share::owner`], which keeps one quota (a limit, the shares
//! leased of it and its free tokens) per team.

pub mod message;
pub mod service;
