//! Decisions beside the target: adaptive limit, queue, deadlines, and the calls
//! that run.

pub mod entry;
pub mod key;
pub mod message;
pub mod permit;
pub mod service;
pub mod summary;
