//! Requests between nodes: the server on the peer port, and the client.

pub mod exchange;
pub mod handler;
pub mod headers;
pub mod service;
