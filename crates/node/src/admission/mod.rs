//! Admission control at the node beside a target: concurrency limit, queue, deadlines,
//! and the running calls.

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
