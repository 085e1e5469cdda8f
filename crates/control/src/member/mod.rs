//! The port for other control processes and for nodes.

mod claim;
mod lease;
pub mod port;
mod server;
mod sync;
