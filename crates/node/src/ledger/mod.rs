//! Ledger of request ids at their home node: recognises resends of a request by its
//! id, and bounds the executions of all of them together.

pub mod message;
pub mod service;
