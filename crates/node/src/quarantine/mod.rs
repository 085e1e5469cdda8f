//! Finds out which requests run when a target beside this node crashes.

pub mod content;
pub mod counters;
pub mod crash;
pub mod detector;
pub mod message;
pub mod service;
pub mod subject;
pub mod watch;
