//! Decisions beside the target: adaptive limit, queue, deadlines, and the calls
//! that run.

mod call;
mod context;
mod counters;
pub mod entry;
pub mod key;
mod local;
pub mod message;
pub mod permit;
pub mod service;
mod state;
pub mod summary;
mod waiter;
