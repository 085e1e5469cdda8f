//! The port for operators: configuration changes, status and control of members.

mod call;
pub mod port;
mod server;
mod status;
