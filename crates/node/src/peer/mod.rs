//! Requests between nodes: the port for other nodes, and the sending side.

pub mod exchange;
pub mod handler;
pub mod headers;
pub mod service;
