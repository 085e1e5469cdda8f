//! The port for members and nodes.

mod claim;
mod lease;
pub mod port;
mod server;
mod sync;
