//! Times of last contact of nodes, and the removal of silent ones.

pub mod contacts;
pub mod expiry;
pub mod message;
pub mod service;
