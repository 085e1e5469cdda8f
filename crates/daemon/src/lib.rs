//! The daemon: settings, logs, signals and the start of roles.

pub mod arguments;
pub mod command;
pub mod error;
pub mod log;
pub mod settings;
pub mod signal;
