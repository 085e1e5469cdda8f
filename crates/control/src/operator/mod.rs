//! The port for operators.

mod call;
pub mod port;
mod server;
mod status;
