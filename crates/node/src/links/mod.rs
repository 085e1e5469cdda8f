//! Keeps connections to other nodes and notices when they go silent.

pub mod message;
pub mod open;
pub mod probe;
pub mod service;
