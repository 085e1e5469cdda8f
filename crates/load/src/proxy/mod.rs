//! A TCP proxy that injects faults between two processes.
//!
//! Its service `proxy` owns the current fault and the handles of all relayed
//! connections. Each connection is relayed by one task that owns both sockets.

pub mod acceptor;
pub mod control;
pub mod fault;
pub mod handle;
pub mod relay;
pub mod service;
pub mod transfer;

pub use fault::Fault;
pub use handle::Handle;
