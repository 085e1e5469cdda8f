//! Recognises a caller's resends by request id and bounds their executions.

pub mod message;
pub mod service;
