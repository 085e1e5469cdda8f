//! Liveness of nodes: times of last contact, removal of silent nodes and damping of
//! flapping ones.

pub mod contacts;
pub mod expiry;
pub mod message;
pub mod service;
